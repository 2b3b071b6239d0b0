package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"madderslip"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), madderslip.Version) },
	}
}
