// Command testreport evaluates a test run for CI. It reads the output of go test -json from
// standard input. Its arguments are the file with the list of known failures and the exit
// status of go test.
package main

import (
	"errors"
	"fmt"
	"os"

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
	listFile, status := args[0], args[1]
	known, err := testreport.ReadKnownFile(listFile)
	if err != nil {
		return err
	}
	report, err := testreport.Judge(os.Stdin, module, known)
	if err != nil {
		return err
	}
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	return report.Err(status)
}
