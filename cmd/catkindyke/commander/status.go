package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"catkindyke/pkg/replicator"
	"catkindyke/service/apiserver"
)

// fleetStatus is the status of the queried host, with that of every other host.
type fleetStatus struct {
	apiserver.Status
	// Fleet holds the status of each host that answered, by name.
	Fleet map[string]apiserver.Status `json:"fleet"`
	// Unreachable lists the hosts that did not answer.
	Unreachable []string `json:"unreachable"`
}

func (c *Commander) statusCommand() *ffcli.Command {
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	operator := fs.String("operator", "127.0.0.1:7002", "operator address of any host, host:port")
	asJSON := fs.Bool("json", false, "print JSON")
	return c.buildCommand(ffcli.Command{
		Name: "status", ShortUsage: "catkindyke status [flags]",
		ShortHelp: "Shows the fleet: versions in force, slots, workspaces, leases and store calls.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("status takes no arguments, got %q", args[0])
			}
			st, err := readFleetStatus(ctx, *operator)
			if err != nil {
				return err
			}
			if *asJSON {
				enc := json.NewEncoder(c.stdout)
				enc.SetIndent("", "  ")
				return enc.Encode(st)
			}
			return st.print(c.stdout)
		},
	})
}

// readFleetStatus queries one host and then every host in its status.
func readFleetStatus(ctx context.Context, operator string) (*fleetStatus, error) {
	st := &fleetStatus{Fleet: make(map[string]apiserver.Status)}
	if err := getJSON(ctx, "http://"+operator+"/v1/status", &st.Status); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range st.Hosts {
		wg.Go(func() {
			var hostStatus apiserver.Status
			err := getJSON(ctx, "http://"+h.OperatorAddress+"/v1/status", &hostStatus)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				st.Unreachable = append(st.Unreachable, h.Name)
				return
			}
			st.Fleet[h.Name] = hostStatus
		})
	}
	wg.Wait()
	slices.Sort(st.Unreachable)
	return st, nil
}

func (st *fleetStatus) print(w io.Writer) error {
	fmt.Fprintf(w, "asked=%s ready=%t unreachable=%v\n\n", st.Host, st.Ready, st.Unreachable)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	st.printHosts(tw)
	fmt.Fprintln(tw)
	st.printPools(tw)
	fmt.Fprintln(tw)
	st.printWorkspaces(tw)
	return tw.Flush()
}

func (st *fleetStatus) printHosts(w io.Writer) {
	fmt.Fprintln(w, "HOST\tREGION\tAVAILABILITY ZONE\tSTATE\tCONFIG\tKEYS\tDRAINS\tPLAN\tNEWS AGE\tSHARE SLOTS\tLEASE LEFT\tLEDGER\tSTORE READS/S\tWRITES/S")
	for _, h := range st.Hosts {
		hostStatus, ok := st.Fleet[h.Name]
		state := "live"
		switch {
		case h.Leaving:
			state = "leaving"
		case !ok:
			state = "unreachable"
		case !hostStatus.Ready:
			state = "not ready"
		case hostStatus.Metrics["planner"] == 1:
			state = "live, plans"
		}
		v := h.Versions
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d ms\t%d\t%d ms\t%d\t%.1f\t%.1f\n", h.Name, h.Region, h.AvailabilityZone, state,
			v[replicator.KindConfig], v[replicator.KindKeys], v[replicator.KindDrains], v[replicator.KindPlan], h.ReportAgeMs,
			hostStatus.Share.Slots, hostStatus.Share.LeaseRemainingMs, hostStatus.Share.LedgerVersion, hostStatus.Store.ReadsPerSecond, hostStatus.Store.WritesPerSecond)
	}
}

func (st *fleetStatus) printPools(w io.Writer) {
	fmt.Fprintln(w, "REGION\tSERVICE\tSLOTS\tIN USE\tQUEUED\tCAPACITY/S")
	for _, p := range st.Pools {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.0f\n", p.Region, p.Service, p.Slots, p.InUse, p.Queued, p.CapacityPerSecond)
	}
}

// printWorkspaces prints the request counts summed over the hosts that answered.
func (st *fleetStatus) printWorkspaces(w io.Writer) {
	fmt.Fprintln(w, "WORKSPACE\tRATE/S\tBURST\tADMITTED\tOVER LIMIT")
	for _, ws := range st.Workspaces {
		var admitted, overLimit int64
		for _, hostStatus := range st.Fleet {
			for _, hostWorkspace := range hostStatus.Workspaces {
				if hostWorkspace.Name == ws.Name {
					admitted += hostWorkspace.Admitted
					overLimit += hostWorkspace.OverLimit
				}
			}
		}
		fmt.Fprintf(w, "%s\t%g\t%g\t%d\t%d\n", ws.Name, ws.RatePerS, ws.Burst, admitted, overLimit)
	}
}

// getJSON decodes the response to a GET request to a host.
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
