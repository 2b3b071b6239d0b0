package loadtest

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"
)

// Config is one measurement. Sizes are counts, times seconds.
type Config struct {
	Seed        uint64  `toml:"seed"`
	Program     string  `toml:"program"`     // the controller's program
	Controllers int     `toml:"controllers"` // processes
	Workers     int     `toml:"workers"`
	WarmupS     float64 `toml:"warmup_s"`
	MeasureS    float64 `toml:"measure_s"`
	ReportS     float64 `toml:"report_s"`
	LeaseS      float64 `toml:"lease_s"`

	Load struct {
		StartsPerS   float64 `toml:"starts_per_s"`   // of array tasks, in jobs of ArrayTasks
		ArrayTasks   int     `toml:"array_tasks"`    // tasks of a job
		RunS         float64 `toml:"run_s"`          // of a task
		UrgentPerS   float64 `toml:"urgent_per_s"`   // services of one replica, cancelled after RunS
		TasksOnEach  int     `toml:"tasks_on_each"`  // tasks that fit a worker
		MostInFlight int     `toml:"most_in_flight"` // submissions without an answer
	} `toml:"load"`

	State struct {
		RPS      float64 `toml:"rps"`
		WriteRPS float64 `toml:"write_rps"`
		ValueKB  float64 `toml:"value_kb"`
		TxnOps   int     `toml:"txn_ops"`
	} `toml:"state"`

	Troubles []Trouble `toml:"trouble"`
}

// Trouble is something that goes wrong some time after the warm-up.
type Trouble struct {
	AtS  float64 `toml:"at_s"`
	Kind string  `toml:"kind"`  // "crash": a controller ends for ForS; "slow": the state service; "reboot": workers
	ForS float64 `toml:"for_s"` // how long
	Part float64 `toml:"part"`  // of the workers
}

// ConfigError names the file, the key and what is wrong with it.
type ConfigError struct{ File, Key, Reason string }

func (e *ConfigError) Error() string { return e.File + ": " + e.Key + ": " + e.Reason }

// Load reads and checks a configuration file.
func Load(file string) (Config, error) {
	var c Config
	meta, err := toml.DecodeFile(file, &c)
	if err != nil {
		return c, &ConfigError{file, "syntax", err.Error()}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return c, &ConfigError{file, unknown[0].String(), "is not known"}
	}
	if key, reason := c.check(); key != "" {
		return c, &ConfigError{file, key, reason}
	}
	return c, nil
}

// Bounds that keep a measurement within one machine.
const (
	mostControllers = 16
	mostWorkers     = 15_000
	mostMeasure     = 600.0
)

func (c *Config) check() (key, reason string) {
	between := []struct {
		key       string
		v         float64
		low, high float64
	}{
		{"controllers", float64(c.Controllers), 1, mostControllers}, {"workers", float64(c.Workers), 1, mostWorkers},
		{"warmup_s", c.WarmupS, 5, mostMeasure}, {"measure_s", c.MeasureS, 5, mostMeasure},
		{"report_s", c.ReportS, 0.5, 60}, {"lease_s", c.LeaseS, 2 * c.ReportS, 600},
		{"load.starts_per_s", c.Load.StartsPerS, 0, 20_000}, {"load.array_tasks", float64(c.Load.ArrayTasks), 1, 100_000},
		{"load.run_s", c.Load.RunS, 1, 600}, {"load.urgent_per_s", c.Load.UrgentPerS, 0, 100},
		{"load.tasks_on_each", float64(c.Load.TasksOnEach), 1, 1000}, {"load.most_in_flight", float64(c.Load.MostInFlight), 1, 1000},
		{"state.rps", c.State.RPS, 1, 1e6}, {"state.write_rps", c.State.WriteRPS, 1, 1e6},
		{"state.value_kb", c.State.ValueKB, 1, 1024}, {"state.txn_ops", float64(c.State.TxnOps), 4, 1000},
	}
	for _, b := range between {
		if !(b.v >= b.low && b.v <= b.high) {
			return b.key, fmt.Sprintf("must be between %g and %g, has %g", b.low, b.high, b.v)
		}
	}
	if c.Program == "" {
		return "program", "is missing"
	}
	for i, t := range c.Troubles {
		if t.Kind != "crash" && t.Kind != "slow" && t.Kind != "reboot" {
			return fmt.Sprintf("trouble[%d].kind", i), fmt.Sprintf("must be crash, slow or reboot, has %q", t.Kind)
		}
		if !(t.AtS >= 0 && t.AtS <= c.MeasureS && t.ForS >= 0 && t.Part >= 0 && t.Part <= 1) {
			return fmt.Sprintf("trouble[%d]", i), "has a time or part out of range"
		}
	}
	return "", ""
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
