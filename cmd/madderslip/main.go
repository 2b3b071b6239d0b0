// Command madderslip runs one controller of the cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"madderslip"
)

// exitConfig is the status after faulty settings or arguments.
const exitConfig = 2

type configError struct{ error }

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "madderslip:", err)
		if _, ok := err.(configError); ok {
			os.Exit(exitConfig)
		}
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var file, policyFile string
	load := func() (madderslip.Config, error) {
		if file == "" {
			return madderslip.Config{}, configError{fmt.Errorf("--config FILE is needed")}
		}
		cfg, err := madderslip.LoadConfig(file, policyFile)
		if err != nil {
			return cfg, configError{err}
		}
		return cfg, nil
	}
	root := &cobra.Command{
		Use:           "madderslip --config FILE",
		Short:         "A cluster scheduler: shards of machines, jobs queued at several at once",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load()
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
			c, err := madderslip.New(cfg)
			if err != nil {
				return err
			}
			for _, doubt := range cfg.Settings.Warnings {
				cfg.Log.Warn("doubtful settings", "reason", doubt)
			}
			cfg.Log.Info("starting", "version", madderslip.Version, "node", cfg.Settings.NodeName)
			return c.Run(ctx)
		},
	}
	root.PersistentFlags().StringVar(&file, "config", "", "the platform's settings file (TOML)")
	root.PersistentFlags().StringVar(&policyFile, "policy", "", "operator policy: name = expression, one a line")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return configError{err} })
	root.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings and the policy, start nothing", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			for _, doubt := range cfg.Settings.Warnings {
				fmt.Fprintln(cmd.ErrOrStderr(), "madderslip: doubtful: "+doubt)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "ok: node %s, %d peers, K=%d\n", cfg.Settings.NodeName, len(cfg.Settings.Peers), cfg.Policy.Copies)
			return nil
		},
	}, &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), madderslip.Version) },
	})
	root.SetContext(context.Background())
	return root
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
