package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"catkindyke/service/apiserver"
)

func (c *Commander) statusCommand() *ffcli.Command {
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	operator := fs.String("operator", "127.0.0.1:7002", "operator address of any host, host:port")
	asJSON := fs.Bool("json", false, "print JSON")
	return c.command(ffcli.Command{
		Name: "status", ShortUsage: "catkindyke status [flags]",
		ShortHelp: "Shows what a host knows about the fleet.", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			var st apiserver.Status
			if err := getJSON(ctx, "http://"+*operator+"/v1/status", &st); err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(c.stdout).Encode(st)
			}
			fmt.Fprintf(c.stdout, "host=%s ready=%t\n", st.Host, st.Ready)
			tw := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(tw, "HOST\tREGION\tAVAILABILITY ZONE\tADDRESS\tLEAVING")
			for _, h := range st.Hosts {
				fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%t\n", h.Name, h.Region, h.AvailabilityZone, h.Address, h.Leaving)
			}
			return tw.Flush()
		},
	})
}

func (c *Commander) lookupCommand() *ffcli.Command {
	fs := flag.NewFlagSet("lookup", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7001", "caller address of any host, host:port")
	return c.command(ffcli.Command{
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

// getJSON reads an answer of a host's API.
func getJSON(ctx context.Context, target string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", target, resp.StatusCode, body)
	}
	return json.Unmarshal(body, out)
}
