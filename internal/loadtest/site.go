package loadtest

import (
	"fmt"
	"io"

	"github.com/BurntSushi/toml"
)

// SiteFactors are the factors by which ScaleSiteFile multiplies the counts and rates of a
// site file; a factor of 1 leaves them unchanged.
type SiteFactors struct {
	Counts     float64 // factor for capacity, machines, initial jobs and arrival rates
	StateRates float64 // factor for the state service's requests and writes per second
}

// ScaleSiteFile reads the site file in, multiplies its counts and rates, and writes the
// result to the file out. The simulated figures of docs/CAPACITY.md come from such copies.
func ScaleSiteFile(in, out string, factors SiteFactors) error {
	var site map[string]any
	if _, err := toml.DecodeFile(in, &site); err != nil {
		return fmt.Errorf("%s: %w", in, err)
	}
	scaleSite(site, factors)
	return writeFile(out, func(w io.Writer) error { return toml.NewEncoder(w).Encode(site) })
}

// scaleSite multiplies a site's counts and rates in place.
func scaleSite(site map[string]any, factors SiteFactors) {
	for _, capacity := range asTables(site["capacity"]) {
		scaleFields(capacity, factors.Counts, "count", "spot")
	}
	for _, machines := range asTables(site["machines"]) {
		scaleFields(machines, factors.Counts, "count")
	}
	for _, jobs := range asTables(site["jobs"]) {
		scaleFields(jobs, factors.Counts, "initial")
		scaleArrivals(jobs, factors.Counts)
	}
	for _, pipeline := range asTables(site["pipelines"]) {
		scaleArrivals(pipeline, factors.Counts)
	}
	if state, ok := site["state"].(map[string]any); ok {
		scaleFields(state, factors.StateRates, "rps", "write_rps")
	}
}

// scaleArrivals multiplies the arrival rate of a table that has arrivals.
func scaleArrivals(table map[string]any, factor float64) {
	if arrivals, ok := table["arrivals"].(map[string]any); ok {
		scaleFields(arrivals, factor, "rate")
	}
}

// asTables returns a value as an array of tables, or nil if it is of another type.
func asTables(value any) []map[string]any {
	list, _ := value.([]map[string]any)
	return list
}

// scaleFields multiplies those of the given fields that the table has. Integers stay
// integers: the products are rounded.
func scaleFields(table map[string]any, factor float64, keys ...string) {
	for _, key := range keys {
		switch value := table[key].(type) {
		case int64:
			table[key] = int64(float64(value)*factor + 0.5)
		case float64:
			table[key] = value * factor
		}
	}
}
