// Command scalesite writes a copy of a site file with higher counts: capacity, machines
// and jobs at the start, arrivals, and if asked the rates of the state service. The figures
// of docs/CAPACITY.md that come from the bench are made with such copies.
package main

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "scalesite:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var counts, state float64
	c := &cobra.Command{
		Use:          "scalesite IN OUT",
		Short:        "Writes a copy of a site file with higher counts",
		Args:         cobra.ExactArgs(2),
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(_ *cobra.Command, files []string) error {
			var site map[string]any
			if _, err := toml.DecodeFile(files[0], &site); err != nil {
				return fmt.Errorf("%s: %w", files[0], err)
			}
			scaleSite(site, counts, state)
			out, err := os.Create(files[1])
			if err != nil {
				return err
			}
			if err := toml.NewEncoder(out).Encode(site); err != nil {
				_ = out.Close()
				return err
			}
			return out.Close()
		},
	}
	c.Flags().Float64Var(&counts, "counts", 1, "factor of machines, jobs at the start and arrivals")
	c.Flags().Float64Var(&state, "state", 1, "factor of the state service's rates")
	return c
}

// scaleSite multiplies a site's counts and rates.
func scaleSite(site map[string]any, counts, state float64) {
	for _, c := range tables(site["capacity"]) {
		times(c, counts, "count", "spot")
	}
	for _, m := range tables(site["machines"]) {
		times(m, counts, "count")
	}
	for _, j := range tables(site["jobs"]) {
		times(j, counts, "initial")
		scaleArrivals(j, counts)
	}
	for _, p := range tables(site["pipelines"]) {
		scaleArrivals(p, counts)
	}
	if s, ok := site["state"].(map[string]any); ok {
		times(s, state, "rps", "write_rps")
	}
}

func scaleArrivals(of map[string]any, by float64) {
	if a, ok := of["arrivals"].(map[string]any); ok {
		times(a, by, "rate")
	}
}

func tables(v any) []map[string]any {
	list, _ := v.([]map[string]any)
	return list
}

// times multiplies fields that are there; whole numbers stay whole.
func times(t map[string]any, by float64, keys ...string) {
	for _, key := range keys {
		switch v := t[key].(type) {
		case int64:
			t[key] = int64(float64(v)*by + 0.5)
		case float64:
			t[key] = v * by
		}
	}
}
