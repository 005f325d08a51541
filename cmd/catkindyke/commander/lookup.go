package commander

import (
	"context"
	"encoding/json"
	"flag"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"catkindyke/service/apiserver"
)

func (c *Commander) lookupCommand() *ffcli.Command {
	fs := flag.NewFlagSet("lookup", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7001", "caller address of any host, host:port")
	return c.buildCommand(ffcli.Command{
		Name: "lookup", ShortUsage: "catkindyke lookup [flags] SERVICE",
		ShortHelp: "Asks a host which hosts to use for a service.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("lookup takes a service")
			}
			answer, err := lookup(ctx, *address, args[0])
			if err != nil {
				return err
			}
			enc := json.NewEncoder(c.stdout)
			enc.SetIndent("", "  ")
			return enc.Encode(answer)
		},
	})
}

func lookup(ctx context.Context, address, service string) (apiserver.LookupAnswer, error) {
	var answer apiserver.LookupAnswer
	err := getJSON(ctx, "http://"+address+"/v1/lookup?service="+url.QueryEscape(service), &answer)
	return answer, err
}
