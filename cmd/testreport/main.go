// Command testreport judges a run of the tests for CI: go test -json on standard input;
// its arguments are the file that lists the tests known to fail and go test's exit status.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"madderslip/internal/testreport"
)

const module = "madderslip"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Println("tests:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: testreport FILE STATUS <RESULTS")
	}
	var known []testreport.KnownFailure
	file, err := os.Open(args[0])
	switch {
	case err == nil:
		defer func() { _ = file.Close() }()
		if known, err = testreport.ReadKnown(file); err != nil {
			return err
		}
	case !errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("list of known failures: %w", err)
	}
	v, err := testreport.Judge(os.Stdin, module, known)
	if err != nil {
		return err
	}
	fmt.Print(strings.Join(v.Output, ""))
	for _, k := range v.KnownFailures {
		fmt.Println("known to fail:", k)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", v.Passed, v.Failed, v.Skipped)
	if args[1] != "0" && v.Failed+len(v.Reasons) == 0 {
		return fmt.Errorf("go test ended with status %s, and no test failed", args[1])
	}
	if len(v.Reasons) > 0 {
		return errors.New(strings.Join(v.Reasons, "; "))
	}
	return nil
}
