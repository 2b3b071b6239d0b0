package loadtest

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// Config describes one measurement and is read from a file. Times are in seconds.
type Config struct {
	Seed        uint64  `toml:"seed"`        // seed of the emulated world and of the choice of controllers that crash
	Program     string  `toml:"program"`     // path of the controller's executable
	Controllers int     `toml:"controllers"` // number of controller processes
	Workers     int     `toml:"workers"`     // number of emulated workers
	WarmupS     float64 `toml:"warmup_s"`
	MeasureS    float64 `toml:"measure_s"`
	ReportS     float64 `toml:"report_s"` // heartbeat interval of the workers
	LeaseS      float64 `toml:"lease_s"`  // lease of the workers

	Load   LoadConfig  `toml:"load"`
	State  StateConfig `toml:"state"`
	Faults []Fault     `toml:"trouble"`
}

// LoadConfig describes the jobs that emulated users submit: arrays, and urgent services of
// one replica.
type LoadConfig struct {
	StartsPerS     float64 `toml:"starts_per_s"`   // array tasks per second, in jobs of ArrayTasks tasks each
	ArrayTasks     int     `toml:"array_tasks"`    // number of tasks of each array job
	RunS           float64 `toml:"run_s"`          // run time of an array's task, and of an urgent service until it is cancelled
	UrgentPerS     float64 `toml:"urgent_per_s"`   // urgent services per second
	TasksPerWorker int     `toml:"tasks_on_each"`  // number of tasks that fit on a worker
	MaxInFlight    int     `toml:"most_in_flight"` // maximum number of jobs that await an answer or, if urgent, their cancellation
}

// StateConfig holds the limits of the emulated state service.
type StateConfig struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // writes per second
	ValueKB  float64 `toml:"value_kb"`  // maximum size of a record, in units of 1024 bytes
	TxnOps   int     `toml:"txn_ops"`   // maximum number of changes in a transaction
}

// Kinds of faults.
const (
	faultCrash  = "crash"  // a controller is killed and started again after ForS
	faultSlow   = "slow"   // during ForS, calls to the state service are delayed
	faultReboot = "reboot" // the machines of a part of the workers reboot
	faultCopies = "copies" // from then on, copies of executed direct calls arrive at the workers again
)

// Fault is a fault that is injected during the measured time.
type Fault struct {
	AtS  float64 `toml:"at_s"` // start, counted from the end of the warm-up
	Kind string  `toml:"kind"`
	ForS float64 `toml:"for_s"` // duration of the fault; not used for reboots and copies
	Part float64 `toml:"part"`  // share of the workers that reboot, from 0 to 1
}

// ConfigError reports what is wrong with a key of a configuration file. The key is "syntax"
// if the file cannot be read or decoded.
type ConfigError struct{ File, Key, Reason string }

func (e *ConfigError) Error() string { return e.File + ": " + e.Key + ": " + e.Reason }

// Load reads and checks a configuration file. Its errors are of type *ConfigError.
func Load(file string) (Config, error) {
	var c Config
	meta, err := toml.DecodeFile(file, &c)
	if err != nil {
		return c, &ConfigError{file, "syntax", err.Error()}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return c, &ConfigError{file, unknown[0].String(), "is not known"}
	}
	if configErr := c.check(); configErr != nil {
		configErr.File = file
		return c, configErr
	}
	return c, nil
}

// Bounds within which a measurement can run on one machine.
const (
	maxControllers = 16
	maxWorkers     = 15_000
	maxPeriodS     = 600.0
)

// check returns the first error in the configuration, or nil. The error's File is not set.
func (c *Config) check() *ConfigError {
	bounds := []struct {
		key       string
		value     float64
		low, high float64 // bounds of the allowed range, both included
	}{
		{"controllers", float64(c.Controllers), 1, maxControllers},
		{"workers", float64(c.Workers), 1, maxWorkers},
		{"warmup_s", c.WarmupS, 5, maxPeriodS},
		{"measure_s", c.MeasureS, 5, maxPeriodS},
		{"report_s", c.ReportS, 0.5, 60},
		{"lease_s", c.LeaseS, 2 * c.ReportS, 600},
		{"load.starts_per_s", c.Load.StartsPerS, 0, 20_000},
		{"load.array_tasks", float64(c.Load.ArrayTasks), 1, 100_000},
		{"load.run_s", c.Load.RunS, 1, 600},
		{"load.urgent_per_s", c.Load.UrgentPerS, 0, 100},
		{"load.tasks_on_each", float64(c.Load.TasksPerWorker), 1, 1000},
		{"load.most_in_flight", float64(c.Load.MaxInFlight), 1, 1000},
		{"state.rps", c.State.RPS, 1, 1e6},
		{"state.write_rps", c.State.WriteRPS, 1, 1e6},
		{"state.value_kb", c.State.ValueKB, 1, 1024},
		{"state.txn_ops", float64(c.State.TxnOps), 4, 1000},
	}
	for _, b := range bounds {
		if !(b.value >= b.low && b.value <= b.high) {
			return &ConfigError{Key: b.key, Reason: fmt.Sprintf("must be between %g and %g, has %g", b.low, b.high, b.value)}
		}
	}
	if c.Program == "" {
		return &ConfigError{Key: "program", Reason: "is missing"}
	}
	return c.checkFaults()
}

func (c *Config) checkFaults() *ConfigError {
	for i, fault := range c.Faults {
		key := fmt.Sprintf("trouble[%d]", i)
		switch fault.Kind {
		case faultCrash, faultSlow, faultReboot, faultCopies:
		default:
			return &ConfigError{Key: key + ".kind", Reason: fmt.Sprintf("must be crash, slow, reboot or copies, has %q", fault.Kind)}
		}
		timesInRange := fault.AtS >= 0 && fault.AtS <= c.MeasureS && fault.ForS >= 0
		if !timesInRange || !(fault.Part >= 0 && fault.Part <= 1) {
			return &ConfigError{Key: key, Reason: "has a time or part out of range"}
		}
	}
	return nil
}
