// Command loadtest measures controllers at sizes that are too large for tests, and prepares
// the site files for such measurements. Each subcommand ends by itself.
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
