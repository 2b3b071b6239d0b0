// Package policy holds the operators' settings: expressions in the language of expr-lang that
// are type-checked when they are loaded, with built-in defaults. Errors contain the line and
// column in the file.
//
// Every field of a loaded Policy is within its bounds, and machines are suspected before they
// are fenced. Of this module the package imports only protocol, for the platform's settings
// that expressions may use.
package policy

import (
	_ "embed"
	"fmt"
	"os"
	"time"

	"madderslip/internal/protocol"
)

//go:embed default.policy
var defaults string

// defaultsName is the file name of the built-in defaults in errors.
const defaultsName = "default.policy"

// Policy is the validated and evaluated policy; names in brackets are those of the policy
// file. It is not modified after it is loaded.
type Policy struct {
	// ShardsPerJob [copies] is the number of shards at which a job is queued.
	ShardsPerJob int
	// TasksPerChunk [chunk_tasks] is the number of tasks of an array that are claimed
	// together. It is even.
	TasksPerChunk int

	// NodeLease [node_lease] is the time without contact after which a controller loses its
	// shard.
	NodeLease time.Duration
	// HandbackDelay [handback_after] is the time for which a returned controller must be
	// stable before it gets its shard back.
	HandbackDelay time.Duration

	// ProbeAfter [probe_after] is the time without contact after which a machine is probed.
	ProbeAfter time.Duration
	// SuspectAfter [suspect_after] is the time without contact after which a machine gets no
	// new tasks.
	SuspectAfter time.Duration
	// FenceAfter [fence_after] is the time without contact after which a machine is fenced.
	FenceAfter time.Duration
	// FenceReplicasAfter [fence_replicas_after] is used instead of FenceAfter for a machine
	// that runs replicas of services.
	FenceReplicasAfter time.Duration
	// FencePartitionedAfter [zone_patience] is used for the machines of a zone that seems
	// partitioned as a whole, instead of FenceAfter and FenceReplicasAfter if it is longer.
	FencePartitionedAfter time.Duration

	// WarmShare [warm_share] is the part of the services' CPUs that is kept free so that
	// further services start at once; 0.12 is 12 %.
	WarmShare float64
	// GPUMachineReserve [card_reserve] is the number of whole machines with GPUs that each
	// shard keeps from arrays without GPUs.
	GPUMachineReserve int
	// GPUMachineShare [card_share] is the part, from 0 to 1, of a shard's machines with GPUs
	// that the shard keeps from arrays without GPUs. If GPUMachineReserve is a larger number
	// of machines than this part, GPUMachineReserve applies.
	GPUMachineShare float64

	// ArrayWait [array_wait] is the time within which queued arrays should be worked off.
	// Machines are rented for an array if the existing ones need longer.
	ArrayWait time.Duration
	// StartAheadAfter [begin_by] is how long an array waits in the queue before one of its
	// tasks starts ahead of the other jobs of the array's priority class.
	StartAheadAfter time.Duration

	// BestEffortWait [idle_wait] is used instead of ArrayWait for best-effort arrays, which
	// are those of the lowest priority class.
	BestEffortWait time.Duration
	// BestEffortShare [idle_share] is the part, from 0 to 1, of a shard's CPUs that
	// best-effort jobs may use while other jobs are queued.
	BestEffortShare float64
	// BestEffortProvisionShare [idle_rent] is the largest part, from 0 to 1, of all CPUs that
	// may be rented for best-effort jobs.
	BestEffortProvisionShare float64
	// BestEffortGPUMachineShare [idle_cards] is the part, from 0 to 1, of a shard's machines
	// with GPUs that the shard keeps from best-effort arrays without GPUs. If GPUMachineShare
	// is larger, GPUMachineShare applies to these arrays too.
	BestEffortGPUMachineShare float64

	// IdleMachineTTL [idle_after] is the time for which an idle machine is kept.
	IdleMachineTTL time.Duration
	// RefusedOfferPause [refused_pause] is the time after a refusal before machines of the
	// refused kind are requested again.
	RefusedOfferPause time.Duration
	// CompletionBatchDelay [book_after] is how long the completion of an array's tasks may
	// stay unrecorded, so that one write records many.
	CompletionBatchDelay time.Duration
	// Allotments [allotments] reports whether each team's limit is divided among the shards;
	// otherwise all controllers share one record for each team.
	Allotments bool
}

// setting is a name of the policy file, with the bounds of its value and the function that
// sets the value in a Policy.
type setting struct {
	name      string
	low, high float64 // bounds of the value, both included
	set       func(p *Policy, value float64)
}

// settings lists every setting that a policy file may contain. In the file, the values of
// times are in seconds.
var settings = []setting{
	{"copies", 1, 64, func(p *Policy, v float64) { p.ShardsPerJob = int(v) }},
	{"chunk_tasks", 2, 128, func(p *Policy, v float64) { p.TasksPerChunk = int(v) &^ 1 }},
	{"node_lease", 1, 60, func(p *Policy, v float64) { p.NodeLease = protocol.Seconds(v) }},
	{"handback_after", 0, 600, func(p *Policy, v float64) { p.HandbackDelay = protocol.Seconds(v) }},
	{"probe_after", 0.5, 600, func(p *Policy, v float64) { p.ProbeAfter = protocol.Seconds(v) }},
	{"suspect_after", 0.5, 600, func(p *Policy, v float64) { p.SuspectAfter = protocol.Seconds(v) }},
	{"fence_after", 1, 3600, func(p *Policy, v float64) { p.FenceAfter = protocol.Seconds(v) }},
	{"fence_replicas_after", 1, 3600, func(p *Policy, v float64) { p.FenceReplicasAfter = protocol.Seconds(v) }},
	{"zone_patience", 0, 3600, func(p *Policy, v float64) { p.FencePartitionedAfter = protocol.Seconds(v) }},
	{"warm_share", 0, 10, func(p *Policy, v float64) { p.WarmShare = v }},
	{"card_reserve", 0, 1000, func(p *Policy, v float64) { p.GPUMachineReserve = int(v) }},
	{"card_share", 0, 1, func(p *Policy, v float64) { p.GPUMachineShare = v }},
	{"array_wait", 1, 3600, func(p *Policy, v float64) { p.ArrayWait = protocol.Seconds(v) }},
	{"begin_by", 1, 86400, func(p *Policy, v float64) { p.StartAheadAfter = protocol.Seconds(v) }},
	{"idle_wait", 1, 86400, func(p *Policy, v float64) { p.BestEffortWait = protocol.Seconds(v) }},
	{"idle_share", 0, 1, func(p *Policy, v float64) { p.BestEffortShare = v }},
	{"idle_rent", 0, 1, func(p *Policy, v float64) { p.BestEffortProvisionShare = v }},
	{"idle_cards", 0, 1, func(p *Policy, v float64) { p.BestEffortGPUMachineShare = v }},
	{"idle_after", 0, 86400, func(p *Policy, v float64) { p.IdleMachineTTL = protocol.Seconds(v) }},
	{"refused_pause", 1, 3600, func(p *Policy, v float64) { p.RefusedOfferPause = protocol.Seconds(v) }},
	{"book_after", 0, 60, func(p *Policy, v float64) { p.CompletionBatchDelay = protocol.Seconds(v) }},
	{"allotments", 0, 1, func(p *Policy, v float64) { p.Allotments = v != 0 }},
}

// Load reads the defaults and, if path is not empty, an operators' file whose values override
// the defaults. An error in a line is a *LineError.
func Load(path string, platform protocol.Settings) (Policy, error) {
	variables := variablesOf(platform)
	var p Policy
	if err := p.read(defaultsName, defaults, variables); err != nil {
		return Policy{}, err
	}
	if path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			return Policy{}, fmt.Errorf("policy: %w", err)
		}
		if err := p.read(path, string(raw), variables); err != nil {
			return Policy{}, err
		}
	}
	if err := p.checkFencing(); err != nil {
		return Policy{}, err
	}
	return p, nil
}

// checkFencing checks that a machine is suspected before it is fenced.
func (p *Policy) checkFencing() error {
	if p.FenceReplicasAfter <= p.SuspectAfter {
		return fmt.Errorf("policy: fence_replicas_after (%v) must be above suspect_after (%v)", p.FenceReplicasAfter, p.SuspectAfter)
	}
	if p.FenceAfter <= p.SuspectAfter {
		return fmt.Errorf("policy: fence_after (%v) must be above suspect_after (%v)", p.FenceAfter, p.SuspectAfter)
	}
	return nil
}
