package loadtest

import (
	"testing"

	"github.com/BurntSushi/toml"
)

// TestScaleSite checks that only counts and rates are multiplied, and that counts are
// rounded to integers.
func TestScaleSite(t *testing.T) {
	var site map[string]any
	if _, err := toml.Decode(`duration_s = 300.0
[state]
rps = 120.0
write_rps = 30.0
value_kb = 8.0
[[capacity]]
count = 5
spot = 3
[[machines]]
count = 2
[[jobs]]
initial = 7
arrivals = { rate = 0.5, swing = 0.5 }
[[pipelines]]
arrivals = { rate = 0.25 }
`, &site); err != nil {
		t.Fatal(err)
	}
	scaleSite(site, SiteFactors{Counts: 1.5, StateRates: 4})
	capacity, job := asTables(site["capacity"])[0], asTables(site["jobs"])[0]
	arrivals := job["arrivals"].(map[string]any)
	state := site["state"].(map[string]any)
	if capacity["count"] != int64(8) || capacity["spot"] != int64(5) || asTables(site["machines"])[0]["count"] != int64(3) || job["initial"] != int64(11) ||
		arrivals["rate"] != 0.75 || arrivals["swing"] != 0.5 || state["rps"] != 480.0 || state["write_rps"] != 120.0 || state["value_kb"] != 8.0 || site["duration_s"] != 300.0 {
		t.Errorf("%v", site)
	}
	if p := asTables(site["pipelines"])[0]["arrivals"].(map[string]any); p["rate"] != 0.375 {
		t.Errorf("%v", p)
	}
}
