package simtest

import "testing"

// TestRepeatedCommands plays scripts in which copies of executed direct calls arrive late.
func TestRepeatedCommands(t *testing.T) { playSeeds(t, GenerateRepeatedCommands(false), *seeds) }

// TestRepeatedCommandsAfterReboots plays such scripts in which machines also restart.
func TestRepeatedCommandsAfterReboots(t *testing.T) {
	playSeeds(t, GenerateRepeatedCommands(true), *seeds)
}
