package loadtest

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfig = `seed = 1
program = "target/madderslip"
controllers = 3
workers = 100
warmup_s = 10.0
measure_s = 20.0
report_s = 5.0
lease_s = 27.0
[load]
starts_per_s = 50.0
array_tasks = 20
run_s = 10.0
urgent_per_s = 1.0
tasks_on_each = 10
most_in_flight = 50
[state]
rps = 200.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 12
[[trouble]]
at_s = 5.0
kind = "crash"
for_s = 3.0
`

// TestConfig checks that a valid configuration is accepted, and that an invalid one is
// refused with an error that names the file, the key and the reason.
func TestConfig(t *testing.T) {
	load := func(text string) (Config, string, error) {
		file := filepath.Join(t.TempDir(), "c.toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Load(file)
		return c, file, err
	}
	c, _, err := load(validConfig)
	if err != nil || c.Workers != 100 || len(c.Faults) != 1 || c.Load.ArrayTasks != 20 {
		t.Fatalf("%+v, %v", c, err)
	}
	for _, f := range [][3]string{
		{"workers = 100", "workers = 0", "workers: must be between"},
		{"workers = 100", "workers = 99999", "workers: must be between"},
		{"workers = 100", "workers = 100\nwokers = 3", "wokers: is not known"},
		{`program = "target/madderslip"`, "", "program: is missing"},
		{`kind = "crash"`, `kind = "flood"`, "trouble[0].kind: must be"},
		{"at_s = 5.0", "at_s = 50.0", "trouble[0]: has a time"},
		{"lease_s = 27.0", "lease_s = 6.0", "lease_s: must be between"},
		{"[load]", "[load", "syntax: "},
	} {
		_, file, err := load(strings.Replace(validConfig, f[0], f[1], 1))
		var ce *ConfigError
		if !errors.As(err, &ce) || !strings.HasPrefix(err.Error(), file+": "+f[2]) {
			t.Errorf("%s: %v", f[1], err)
		}
	}
}
