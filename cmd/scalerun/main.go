// Command scalerun measures controllers at sizes that tests can't have: real processes
// against the stand-in world over loopback. It ends by itself.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"madderslip/internal/loadtest"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "scalerun:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:          "scalerun CONFIG...",
		Short:        "Measures controllers over loopback, one configuration after the other",
		Args:         cobra.MinimumNArgs(1),
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, files []string) error { return measureAll(cmd.Context(), files, out) },
	}
	c.Flags().StringVar(&out, "out", ".", "directory for results.csv and a JSON file for each configuration")
	return c
}

func measureAll(ctx context.Context, files []string, out string) error {
	var results []*loadtest.Result
	for _, file := range files {
		cfg, err := loadtest.Load(file)
		if err != nil {
			return err
		}
		dir, err := os.MkdirTemp("", "scalerun")
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s: %d workers, %d controllers, logs in %s\n", file, cfg.Workers, cfg.Controllers, dir)
		r, err := loadtest.Measure(ctx, &cfg, dir, os.Stderr)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		for _, what := range r.NotReached {
			fmt.Fprintln(os.Stderr, "not reached:", what)
		}
		results = append(results, r)
		if err := write(filepath.Join(out, filepath.Base(file)+".json"), r.WriteJSON); err != nil {
			return err
		}
	}
	return write(filepath.Join(out, "results.csv"), func(w io.Writer) error { return loadtest.WriteCSV(w, results) })
}

func write(file string, to func(io.Writer) error) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := to(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
