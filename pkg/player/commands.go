package player

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// errUsage is returned for wrong arguments of a command; docs/scenarios.md lists them.
var errUsage = errors.New("wrong arguments, see docs/scenarios.md")

// command runs one command of the scenario language. readFile returns the content of
// a file in the script.
type command func(p *Player, args []string, readFile func(string) string) error

// Commands returns the commands of the scenario language for testscript.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, cmd := range commands() {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			p := ts.Value(playerKey{}).(*Player)
			p.Log = func(line string) { ts.Logf("%s", line) }
			if p.cfg == nil && name != "deploy" {
				ts.Fatalf("%s: the first command of a scenario must be deploy", name)
			}
			err := cmd(p, args, ts.ReadFile)
			if neg && err == nil {
				ts.Fatalf("%s: succeeded, but was expected to fail", name)
			}
			if !neg && err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return out
}

// playerKey is the key of the Player in a script's values.
type playerKey struct{}

func commands() map[string]command {
	return map[string]command{
		"deploy":   deployCommand,
		"traffic":  trafficCommand,
		"send":     sendCommand,
		"advance":  advanceCommand,
		"settle":   func(p *Player, _ []string, _ func(string) string) error { p.operations.Wait(); return nil },
		"reset":    func(p *Player, _ []string, _ func(string) string) error { p.resetAt = p.elapsed(); return nil },
		"require":  requireCommand,
		"await":    awaitCommand,
		"crash":    oneNameCommand((*Player).Kill),
		"shutdown": oneNameCommand((*Player).Stop),
		"start":    oneNameCommand((*Player).Restart),
		"cut":      func(p *Player, args []string, _ func(string) string) error { return p.Partition(args) },
		"heal":     func(p *Player, _ []string, _ func(string) string) error { p.Heal(); return nil },
		"store":    storeCommand,
		"grant":    twoNamesCommand((*Player).GrantKey),
		"withdraw": twoNamesCommand((*Player).RevokeKey),
		"apply":    applyCommand,
		"race":     raceCommand,
		"drain":    drainCommand(true),
		"undrain":  drainCommand(false),
		"leave":    backendCommand("leave"),
		"fail":     failCommand,
		"recover":  backendCommand("recover"),
		"slow":     backendCommand("slow"),
		"hang":     backendCommand("hang"),
		"mute":     backendCommand("mute"),
		"lookups":  lookupsCommand,
	}
}

// parseOptions puts arguments of the form name=value into defaults and returns the others.
func parseOptions(args []string, defaults map[string]string) ([]string, error) {
	var positional []string
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		if !ok {
			positional = append(positional, a)
			continue
		}
		if _, ok := defaults[name]; !ok {
			return nil, fmt.Errorf("unknown option %q: %w", name, errUsage)
		}
		defaults[name] = value
	}
	return positional, nil
}

func oneNameCommand(f func(*Player, string) error) command {
	return func(p *Player, args []string, _ func(string) string) error {
		if len(args) != 1 {
			return errUsage
		}
		return f(p, args[0])
	}
}

func twoNamesCommand(f func(*Player, string, string) error) command {
	return func(p *Player, args []string, _ func(string) string) error {
		if len(args) != 2 {
			return errUsage
		}
		return f(p, args[0], args[1])
	}
}

func deployCommand(p *Player, args []string, _ func(string) string) error {
	opts := map[string]string{"hosts": "8"}
	positional, err := parseOptions(args, opts)
	if err != nil || len(positional) != 1 {
		return errors.Join(errUsage, err)
	}
	hosts, err := strconv.Atoi(opts["hosts"])
	if err != nil {
		return err
	}
	return p.Deploy(positional[0], hosts)
}

func trafficCommand(p *Player, args []string, _ func(string) string) error {
	opts := map[string]string{
		"rate": "", "service": "", "for": "10s", "from": "", "method": "mix", "key": "a", "path": "", "seed": "1",
	}
	positional, err := parseOptions(args, opts)
	if err != nil || len(positional) != 1 {
		return errors.Join(errUsage, err)
	}
	t := Traffic{
		Workspace: positional[0], Service: opts["service"], Region: opts["from"], Method: opts["method"],
		KeyLabel: opts["key"], Path: opts["path"],
	}
	if t.Path == "" {
		t.Path = "/" + t.Service + "/x"
	}
	var errs [3]error
	t.Rate, errs[0] = strconv.ParseFloat(opts["rate"], 64)
	t.Duration, errs[1] = time.ParseDuration(opts["for"])
	t.Seed, errs[2] = strconv.ParseUint(opts["seed"], 10, 64)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	if t.Workspace == "everyone" {
		return p.startTrafficForAll(t)
	}
	return p.StartTraffic(t)
}

// startTrafficForAll starts a stream for each workspace. The rate of t is a fraction of
// the workspace's rate limit.
func (p *Player) startTrafficForAll(t Traffic) error {
	fraction := t.Rate
	for _, w := range p.cfg.GetWorkspaces() {
		t.Workspace, t.Rate = w.GetName(), fraction*w.GetRatePerS()
		if err := p.StartTraffic(t); err != nil {
			return err
		}
	}
	return nil
}

// sendCommand sends one request without waiting for its response.
func sendCommand(p *Player, args []string, _ func(string) string) error {
	opts := map[string]string{
		"service": "", "id": "", "from": "", "via": "", "method": http.MethodPost, "key": "a",
		"idempotency_key": "", "size": "16", "stall": "0s", "path": "",
	}
	positional, err := parseOptions(args, opts)
	if err != nil || len(positional) != 1 || opts["id"] == "" || opts["service"] == "" {
		return errors.Join(errUsage, err)
	}
	size, err := strconv.Atoi(opts["size"])
	if err != nil {
		return err
	}
	stall, err := time.ParseDuration(opts["stall"])
	if err != nil {
		return err
	}
	req := request{
		id: opts["id"], workspace: positional[0], service: opts["service"], method: opts["method"],
		path: "/" + opts["service"] + "/x", idempotencyKey: opts["idempotency_key"], stallDuration: stall,
	}
	if opts["path"] != "" {
		req.path = opts["path"]
	}
	if req.method == http.MethodPost {
		req.atMostOnce, req.body = true, strings.Repeat("b", size)
	}
	if opts["via"] != "" {
		req.hosts = []string{opts["via"]}
	}
	p.mu.Lock()
	req.key = p.keys[req.workspace][opts["key"]]
	p.mu.Unlock()
	region := opts["from"]
	if region == "" {
		region = p.cfg.GetRegions()[0].GetName()
	}
	c := p.caller(region, 0)
	p.operations.Go(func() { p.sendWithFailover(c, req) })
	return nil
}

func advanceCommand(_ *Player, args []string, _ func(string) string) error {
	if len(args) != 1 {
		return errUsage
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

// lookupsCommand parses arguments such as "late 10s".
func lookupsCommand(p *Player, args []string, _ func(string) string) error {
	if len(args) != 2 || args[0] != "late" {
		return errUsage
	}
	d, err := time.ParseDuration(args[1])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lookupOveruse = d
	return err
}

func requireCommand(p *Player, args []string, _ func(string) string) error {
	if len(args) != 3 {
		return errUsage
	}
	got, ok, err := p.CompareMetric(args[0], args[1], args[2])
	if err != nil {
		return err
	}
	p.Log(fmt.Sprintf("%s=%g", args[0], got))
	if !ok {
		return fmt.Errorf("%s is %g, want %s %s; refusals: %v", args[0], got, args[1], args[2], p.refusalsByReason())
	}
	return nil
}

// awaitCommand waits until a metric has the wanted value, or fails after a timeout.
func awaitCommand(p *Player, args []string, _ func(string) string) error {
	if len(args) != 4 {
		return errUsage
	}
	timeout, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	for start := p.elapsed(); ; time.Sleep(10 * time.Millisecond) {
		got, ok, err := p.CompareMetric(args[1], args[2], args[3])
		if err != nil {
			return err
		}
		if ok {
			p.Log(fmt.Sprintf("%s=%g after %s", args[1], got, p.elapsed()-start))
			return nil
		}
		if p.elapsed()-start > timeout {
			return fmt.Errorf("%s is %g after %s, want %s %s", args[1], got, timeout, args[2], args[3])
		}
	}
}

func storeCommand(p *Player, args []string, _ func(string) string) error {
	if len(args) < 1 || len(args) > 2 {
		return errUsage
	}
	return p.SetStoreState(args)
}

func applyCommand(p *Player, args []string, readFile func(string) string) error {
	if len(args) != 1 {
		return errUsage
	}
	return p.ApplyConfig(args[0], []byte(readFile(args[0])))
}

func raceCommand(p *Player, args []string, _ func(string) string) error {
	opts := map[string]string{"operators": "2"}
	positional, err := parseOptions(args, opts)
	if err != nil || len(positional) != 1 {
		return errors.Join(errUsage, err)
	}
	operators, err := strconv.Atoi(opts["operators"])
	if err != nil {
		return err
	}
	return p.RaceOperators(positional[0], operators)
}

func drainCommand(add bool) command {
	return func(p *Player, args []string, _ func(string) string) error {
		if len(args) != 2 {
			return errUsage
		}
		return p.Drain(args[0], args[1], add)
	}
}

func failCommand(p *Player, args []string, readFile func(string) string) error {
	if len(args) == 2 && args[0] == "region" {
		return p.FailRegion(args[1])
	}
	return backendCommand("fail")(p, args, readFile)
}

// backendCommand parses "backend NAME" or "service NAME", and a value for some verbs.
func backendCommand(verb string) command {
	return func(p *Player, args []string, _ func(string) string) error {
		if len(args) < 2 || len(args) > 3 || args[0] != "backend" && args[0] != "service" {
			return errUsage
		}
		value := ""
		if len(args) == 3 {
			value = args[2]
		}
		return p.ChangeBackend(verb, args[1], value)
	}
}
