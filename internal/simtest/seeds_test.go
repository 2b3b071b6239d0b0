package simtest

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

var (
	seeds = flag.Int("seeds", 12, "number of scripts to play")
	from  = flag.Int("from", 0, "seed of the first script")
	found = flag.String("found", "", "directory for the shrunk scripts that failed")
	plays = flag.Int("plays", 150, "limit of plays for shrinking one script")
)

// TestSeeds plays scripts drawn from seeds. A script that fails is shrunk, and written to the
// directory -found, if that is set, in the format of the traces.
func TestSeeds(t *testing.T) { playSeeds(t, GenerateScript(), *seeds) }

// TestDays plays scripts of GenerateDay, in which no class and no team may starve. It plays
// fewer scripts than TestSeeds because these scripts are longer.
func TestDays(t *testing.T) { playSeeds(t, GenerateDay(), max(2, *seeds/6)) }

// TestPipelines plays scripts with jobs that depend on other jobs, drawn from seeds.
func TestPipelines(t *testing.T) { playSeeds(t, GenerateDependencies(), *seeds) }

// playSeeds plays the scripts of count seeds, each in a subtest named after its seed.
func playSeeds(t *testing.T, draw *rapid.Generator[string], count int) {
	var mu sync.Mutex
	kinds := make(map[string]int)
	t.Cleanup(func() {
		if len(kinds) > 0 {
			t.Logf("of %d scripts from seed %d on failed: %v", count, *from, kinds)
		}
	})
	for seed := *from; seed < *from+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := draw.Example(seed)
			out := play(t, script, uint64(seed))
			if out.Kind() == "" {
				return
			}
			mu.Lock()
			kinds[out.Kind()]++
			mu.Unlock()
			reportShrunk(t, script, seed)
		})
	}
}

// reportShrunk fails the test and logs the shrunk script, which fails with the same kind. It
// also writes the script to the directory -found, if that is set.
func reportShrunk(t *testing.T, script string, seed int) {
	shrunk := Shrink(script, *plays, func(s string) string { return play(t, s, uint64(seed)).Kind() })
	out := play(t, shrunk, uint64(seed))
	t.Errorf("seed %d\n%s%s", seed, shrunk, out)
	if *found == "" {
		return
	}
	text := fmt.Sprintf("# Seed %d, %s\n%s", seed, strings.Join(append(out.Broken, fmt.Sprint(out.Err)), "; "), shrunk)
	file := filepath.Join(*found, fmt.Sprintf("%s-%d.trace", out.Kind(), seed))
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Error(err)
	}
}

// TestSameSeedSameEvents checks that two plays of the same script and seed yield the same
// events. Otherwise a failing seed could not be replayed.
func TestSameSeedSameEvents(t *testing.T) {
	for seed := *from; seed < *from+max(2, *seeds/4); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := GenerateScript().Example(seed)
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
