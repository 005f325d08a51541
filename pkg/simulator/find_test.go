package simulator

import (
	"fmt"
	"strings"
	"testing"

	"catkindyke/pkg/leaser"
)

func TestFind(t *testing.T) {
	for sh := range uint64(6) {
		t.Run("x", func(t *testing.T) {
			t.Parallel()
			for seed := sh; seed < 900; seed += 6 {
				s := drawSchedule(seeded(seed))
				s.OmitLease = leaser.RuleRecordWait
				if v := s.run(); strings.Contains(strings.Join(v, "\n"), "usable by") {
					fmt.Println("FOUND", seed, v[0])
					return
				}
			}
		})
	}
}
