package simtest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

var script = flag.String("script", "", "file with a script to play")

// TestScript plays the script in the file -script with the seed -from and prints the outcome
// with all events.
func TestScript(t *testing.T) {
	if *script == "" {
		t.Skip("no -script")
	}
	text, err := os.ReadFile(*script)
	if err != nil {
		t.Fatal(err)
	}
	out := play(t, string(text), uint64(*from))
	fmt.Println(out)
	if out.Kind() != "" {
		t.Error(out.Kind())
	}
}

// TestShow prints the script that GenerateScript yields for the seed -from, if -script is "-".
func TestShow(t *testing.T) {
	if *script != "-" {
		t.Skip("no -script -")
	}
	fmt.Print(GenerateScript().Example(*from))
}
