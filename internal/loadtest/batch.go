package loadtest

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// MeasureFiles measures the configurations one after the other. Each result goes to the
// directory outDir as JSON under its configuration's name, and all of them to results.csv
// there once the last has ended. It stops at the first error.
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

// measureFile measures one configuration and names what it asked for and did not get. The
// controllers' settings and logs stay in a temporary directory.
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

// writeFile creates a file and has write fill it.
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
