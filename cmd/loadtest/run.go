package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"madderslip/internal/loadtest"
)

func runCommand() *cobra.Command {
	var outDir string
	run := &cobra.Command{
		Use:   "run CONFIG...",
		Short: "Measures controllers over loopback, one configuration after the other",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return loadtest.MeasureFiles(ctx, files, outDir, os.Stderr)
		},
	}
	run.Flags().StringVar(&outDir, "out", ".", "directory for results.csv and a JSON file for each configuration")
	return run
}
