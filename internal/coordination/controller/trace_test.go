package controller_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"madderslip/internal/simtest"
)

// TestTraces plays the traces in testdata. Each step of a trace names a time and an actor, and
// what the actor does or what must hold by then. The emulator checks the rules throughout. A
// trace that was found by a seed names the seed in its first line and is played with the same
// seed, since that decides which messages are lost.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			seed := uint64(1)
			_, _ = fmt.Sscanf(string(text), "# Seed %d", &seed)
			scripts := []string{string(text)}
			if strings.Contains(string(text), "# Also with seven controllers.\n") {
				scripts = append(scripts, "0s controllers 7\n"+string(text))
			}
			for _, script := range scripts {
				synctest.Test(t, func(t *testing.T) {
					if out := simtest.Play(script, seed); out.Kind() != "" {
						t.Error(out)
					}
				})
			}
		})
	}
}
