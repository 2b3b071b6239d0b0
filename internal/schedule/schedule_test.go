package schedule

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

var (
	seeds = flag.Int("seeds", 12, "schedules to play")
	from  = flag.Int("from", 1, "the first one's seed")
	found = flag.String("found", "", "directory for the schedules that failed, shrunk")
	plays = flag.Int("plays", 150, "plays that shrinking one schedule may take")
)

// play plays a script in a bubble of its own.
func play(t *testing.T, script string, seed uint64) (out *Outcome) {
	synctest.Test(t, func(*testing.T) { out = Play(script, seed) })
	return out
}

// TestSeeds plays schedules drawn from seeds. A failing one is shrunk; with
// -found it is written down, ready to be kept among the traces.
func TestSeeds(t *testing.T) {
	var mu sync.Mutex
	kinds := make(map[string]int)
	t.Cleanup(func() {
		if len(kinds) > 0 {
			t.Logf("of %d schedules from seed %d on failed: %v", *seeds, *from, kinds)
		}
	})
	for seed := *from; seed < *from+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := Script().Example(seed)
			out := play(t, script, uint64(seed))
			if out.Kind() == "" {
				return
			}
			mu.Lock()
			kinds[out.Kind()]++
			mu.Unlock()
			small := Shrink(script, *plays, func(s string) string { return play(t, s, uint64(seed)).Kind() })
			out = play(t, small, uint64(seed))
			t.Errorf("seed %d\n%s%s", seed, small, out)
			if *found != "" {
				text := fmt.Sprintf("# Seed %d, %s\n%s", seed, strings.Join(append(out.Broken, fmt.Sprint(out.Err)), "; "), small)
				if err := os.WriteFile(filepath.Join(*found, fmt.Sprintf("%s-%d.trace", out.Kind(), seed)), []byte(text), 0o644); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// TestSameSeedSameEvents: a failing seed that cannot be replayed is worth
// little.
func TestSameSeedSameEvents(t *testing.T) {
	for seed := *from; seed < *from+max(2, *seeds/4); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := Script().Example(seed)
			once, again := play(t, script, uint64(seed)).Events, play(t, script, uint64(seed)).Events
			for i := range min(len(once), len(again)) {
				if once[i] != again[i] {
					t.Fatalf("seed %d, event %d: %q, then %q, after\n%s", seed, i, once[i], again[i], strings.Join(once[max(0, i-25):i+3], "\n"))
				}
			}
			if len(once) != len(again) {
				t.Fatalf("%d events, then %d", len(once), len(again))
			}
		})
	}
}
