package player

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
)

const repoRoot = "../.."

// TestScenarios runs each file in _fixtures/scenarios. A scenario listed in KNOWN-RED.txt
// must fail, so that its entry is removed once the fault is fixed.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob(repoRoot + "/_fixtures/scenarios/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	isKnownRed := knownRed(t)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		if raceDetectorScenarios != nil && !raceDetectorScenarios[name] {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ok, log := playScenario(t, file)
			switch {
			case isKnownRed[name] && ok:
				t.Errorf("scenario passes but is listed in KNOWN-RED.txt; remove the entry")
			case isKnownRed[name]:
				t.Logf("KNOWN RED, see KNOWN-RED.txt\n%s", log)
				fmt.Fprintf(os.Stderr, "known red: scenario %s\n", name)
			case !ok:
				t.Errorf("%s", log)
			default:
				t.Logf("%s", log)
			}
		})
	}
}

// knownRed reads KNOWN-RED.txt and returns the scenarios that fail because of an open
// fault, from lines of the form "scenario: NAME".
func knownRed(t *testing.T) map[string]bool {
	out := make(map[string]bool)
	content, err := os.ReadFile(repoRoot + "/KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return out
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(content)) {
		if name, ok := strings.CutPrefix(line, "scenario: "); ok {
			out[strings.TrimSpace(name)] = true
		}
	}
	return out
}

// playScenario runs one script in the virtual time of a synctest bubble and reports
// whether it passed.
func playScenario(t *testing.T, file string) (ok bool, log string) {
	dir := t.TempDir()
	synctest.Test(t, func(*testing.T) {
		r := &scriptRun{}
		done := make(chan struct{})
		go func() {
			// FailNow ends this goroutine instead of the test's.
			defer close(done)
			testscript.RunT(r, testscript.Params{
				Files: []string{file}, Cmds: Commands(), WorkdirRoot: dir,
				Setup: func(env *testscript.Env) error {
					p := New(repoRoot+"/_fixtures/config", nil)
					env.Values[playerKey{}] = p
					env.Defer(func() { r.closeAndCheck(p) })
					return nil
				},
			})
		}()
		<-done
		ok, log = !r.failed, r.log.String()
		// Skip the script's environment at the start of the log.
		if _, rest, found := strings.Cut(log, "\n\n"); found {
			log = "\n" + rest
		}
		log += strings.Join(r.violations, "\n")
	})
	return ok, log
}

// closeAndCheck closes the player and runs every checker. If the script has passed so
// far it waits for in-flight requests first.
func (r *scriptRun) closeAndCheck(p *Player) {
	if p.cfg == nil {
		return
	}
	if !r.failed {
		p.operations.Wait()
	}
	p.Close()
	for _, c := range Checkers {
		for i, line := range p.findViolations(c) {
			if i < 5 {
				r.violations = append(r.violations, c.Name+": "+line)
			}
			r.failed = true
		}
	}
}

// scriptRun implements testscript.T for one script. It records a failure instead of
// failing the test.
type scriptRun struct {
	failed     bool
	log        strings.Builder
	violations []string
}

func (r *scriptRun) Skip(args ...any)                     { r.Fatal(args...) }
func (r *scriptRun) Fatal(args ...any)                    { r.Log(args...); r.FailNow() }
func (r *scriptRun) Parallel()                            {}
func (r *scriptRun) Log(args ...any)                      { fmt.Fprintln(&r.log, args...) }
func (r *scriptRun) FailNow()                             { r.failed = true; runtime.Goexit() }
func (r *scriptRun) Run(_ string, f func(t testscript.T)) { f(r) }
func (r *scriptRun) Verbose() bool                        { return true }
