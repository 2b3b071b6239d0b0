package simtest

import (
	"testing"

	"pgregory.net/rapid"
)

// TestLateResponses plays scripts with late copies of direct calls in which responses to
// heartbeats are late too, so that starts stay of unknown outcome while jobs are cancelled and
// controllers restart.
func TestLateResponses(t *testing.T) {
	playSeeds(t, rapid.Map(GenerateRepeatedCommands(true), func(script string) string {
		return "0s trouble late responses on\n" + script
	}), *seeds)
}
