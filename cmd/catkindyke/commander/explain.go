package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/url"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"catkindyke/service/apiserver"
)

func (c *Commander) explainCommand() *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	operator := fs.String("operator", "127.0.0.1:7002", "operator address of the host where the request enters, host:port")
	workspace := fs.String("workspace", "", "workspace of the request")
	region := fs.String("region", "", "region where the request enters; the host's region when empty")
	path := fs.String("path", "", "path of the request; the service's root when empty")
	asJSON := fs.Bool("json", false, "print JSON")
	return c.buildCommand(ffcli.Command{
		Name: "explain", ShortUsage: "catkindyke explain [flags] SERVICE",
		ShortHelp: "Shows where a request would be routed, or why it would be refused.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("explain takes a service")
			}
			q := url.Values{"service": args, "workspace": {*workspace}, "region": {*region}, "path": {*path}}
			var e apiserver.Explanation
			if err := getJSON(ctx, "http://"+*operator+"/v1/explain?"+q.Encode(), &e); err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(c.stdout).Encode(e)
			}
			c.printExplanation(e)
			return nil
		},
	})
}

func (c *Commander) printExplanation(e apiserver.Explanation) {
	fmt.Fprintf(c.stdout, "verdict: %s\n", e.Verdict)
	fmt.Fprintf(c.stdout, "host=%s service=%s workspace=%s home=%s\n", e.Host, e.Service, e.Workspace, e.EntryRegion)
	fmt.Fprintf(c.stdout, "key: needed=%t keys=%d\n", e.KeyCheck.Required, e.KeyCheck.ActiveKeys)
	fmt.Fprintf(c.stdout, "rate: rate_per_s=%g tokens=%.1f\n", e.Rate.RatePerS, e.Rate.Tokens)
	fmt.Fprintf(c.stdout, "plan: version=%d fence=%d weights=%v lost=%s\n", e.Plan.Version, e.Plan.Fence, e.Plan.Weights, e.Plan.FailoverFrom)
	for n, r := range e.Regions {
		fmt.Fprintf(c.stdout, "%d. region=%s health_per_mille=%d drained=%t servers=%s", n+1, r.Region, r.HealthPerMille, r.Drained, strings.Join(r.Servers, ","))
		if r.ShiftBucket != nil {
			fmt.Fprintf(c.stdout, " bucket=%s rate_per_s=%g tokens=%.1f", r.ShiftBucket.Bucket, r.ShiftBucket.RatePerS, r.ShiftBucket.Tokens)
		}
		fmt.Fprintln(c.stdout)
	}
}
