package loadtest

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// MeasureFiles runs the measurements of configuration files one after the other. It writes
// each result to the directory outDir as JSON, in a file named after its configuration, and
// all results to results.csv there once the last measurement has ended. It stops at the
// first error.
func MeasureFiles(ctx context.Context, files []string, outDir string, progress io.Writer) error {
	var results []*Result
	for _, file := range files {
		result, err := measureFile(ctx, file, progress)
		if err != nil {
			return err
		}
		results = append(results, result)
		if err := writeFile(filepath.Join(outDir, filepath.Base(file)+".json"), result.WriteJSON); err != nil {
			return err
		}
	}
	return writeFile(filepath.Join(outDir, "results.csv"), func(w io.Writer) error { return WriteCSV(w, results) })
}

// measureFile runs the measurement of one configuration file and prints the configured
// amounts that were not reached. The controllers' settings and logs are kept in a temporary
// directory.
func measureFile(ctx context.Context, file string, progress io.Writer) (*Result, error) {
	cfg, err := Load(file)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "loadtest")
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(progress, "%s: %d workers, %d controllers, logs in %s\n", file, cfg.Workers, cfg.Controllers, dir)
	result, err := Measure(ctx, &cfg, dir, progress)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	for _, shortfall := range result.NotReached {
		fmt.Fprintln(progress, "not reached:", shortfall)
	}
	return result, nil
}

// writeFile creates a file and calls write to write its content.
func writeFile(file string, write func(io.Writer) error) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
