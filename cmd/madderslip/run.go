package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"madderslip"
)

// runCommand returns the root command, which runs a controller until the process receives
// an interrupt or SIGTERM.
func runCommand(files *configFiles) *cobra.Command {
	return &cobra.Command{
		Use:           "madderslip --config FILE",
		Short:         "A cluster scheduler: shards of machines, jobs queued at several at once",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := files.load()
			if err != nil {
				return err
			}
			level, err := logLevel(os.Getenv("LOG_LEVEL"))
			if err != nil {
				return configError{err}
			}
			cfg.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			controller, err := madderslip.New(cfg)
			if err != nil {
				return err
			}
			for _, warning := range cfg.Settings.Warnings {
				cfg.Log.Warn("contradictory settings", "reason", warning)
			}
			cfg.Log.Info("starting", "version", madderslip.Version, "node", cfg.Settings.NodeName)
			return controller.Run(ctx)
		},
	}
}

func logLevel(name string) (slog.Level, error) {
	switch strings.ToLower(name) {
	case "error", "":
		return slog.LevelError, nil
	case "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: %q is none of error, info, debug", name)
}
