// Command loadtest measures controllers at sizes that tests can't have, and prepares the
// sites of such measurements. Each verb ends by itself.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "loadtest:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:          "loadtest",
		Short:        "Measures controllers at sizes that tests can't have",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(runCommand(), siteCommand())
	return root
}
