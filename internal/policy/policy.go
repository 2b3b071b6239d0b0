// Package policy holds the operators' own settings: expressions that are
// type-checked when they are loaded, with built-in defaults. The language is
// expr-lang's; the checker's errors carry the line and column in the file.
//
// It guarantees that every field of a loaded Policy is within its bounds, and that machines
// are suspected before they are fenced. It imports protocol alone, for the platform's
// settings that expressions may use.
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

// defaultsName is how errors call the built-in defaults.
const defaultsName = "default.policy"

// Policy is the checked and evaluated policy; names in brackets are those of the file.
// Nobody changes it once it is loaded.
type Policy struct {
	// Copies [copies] is at how many shards a job queues.
	Copies int
	// TasksPerChunk [chunk_tasks] is how many tasks of an array are claimed together, an
	// even number.
	TasksPerChunk int

	// NodeLease [node_lease] is the time after which a controller without contact loses
	// its shard.
	NodeLease time.Duration
	// HandbackDelay [handback_after] is how long a returned controller must be stable
	// before it gets its shard back.
	HandbackDelay time.Duration

	// ProbeAfter [probe_after] is the silence after which a machine is asked.
	ProbeAfter time.Duration
	// SuspectAfter [suspect_after] is the silence after which a machine gets nothing new.
	SuspectAfter time.Duration
	// FenceAfter [fence_after] is the silence after which a machine is fenced.
	FenceAfter time.Duration
	// FenceReplicasAfter [fence_replicas_after] is the same for a machine that runs
	// replicas of services.
	FenceReplicasAfter time.Duration
	// PartitionPatience [zone_patience] is the same for the machines of a zone that seems
	// cut off as a whole.
	PartitionPatience time.Duration

	// WarmShare [warm_share] is the part of the services' CPUs that is kept free so that
	// the next ones start at once; 0.12 is 12 %.
	WarmShare float64
	// GPUMachineReserve [card_reserve] is how many whole machines with GPUs each shard
	// keeps from arrays without GPUs.
	GPUMachineReserve int
	// GPUMachineShare [card_share] is the same as a part, from 0 to 1, of the shard's
	// machines with GPUs, if that is more.
	GPUMachineShare float64

	// ArrayWait [array_wait] is the queue, as time, that an array may wait for before
	// machines are rented for it.
	ArrayWait time.Duration
	// StartAheadAfter [begin_by] is how long an array waits for its turn; then one task of
	// it begins ahead of others of its priority class.
	StartAheadAfter time.Duration

	// BestEffortWait [idle_wait] is the same as ArrayWait for best-effort arrays, those of
	// the lowest priority class.
	BestEffortWait time.Duration
	// BestEffortShare [idle_share] is the part, from 0 to 1, of a shard's CPUs that
	// best-effort work may use though others wait.
	BestEffortShare float64
	// BestEffortProvisionShare [idle_rent] is the part, from 0 to 1, of the fleet that may
	// be rented for best-effort work at most.
	BestEffortProvisionShare float64
	// BestEffortGPUMachineShare [idle_cards] is the same as GPUMachineShare, of what is
	// kept from best-effort arrays.
	BestEffortGPUMachineShare float64

	// IdleMachineTTL [idle_after] is how long an idle machine is kept.
	IdleMachineTTL time.Duration
	// RefusedOfferPause [refused_pause] is the time before a refused kind of machine is
	// asked for again.
	RefusedOfferPause time.Duration
	// CompletionBatchDelay [book_after] is how long completed tasks of an array may wait to
	// be recorded, so that one write records many.
	CompletionBatchDelay time.Duration
	// Allotments [allotments] is whether each team's limit is divided among the shards;
	// otherwise all controllers share one record for each team.
	Allotments bool
}

// setting is a name of the policy file: its bounds, and how its value gets into a Policy.
type setting struct {
	name      string
	low, high float64 // both included
	set       func(p *Policy, value float64)
}

// settings are all names of the policy file. Times are seconds.
var settings = []setting{
	{"copies", 1, 64, func(p *Policy, v float64) { p.Copies = int(v) }},
	{"chunk_tasks", 2, 128, func(p *Policy, v float64) { p.TasksPerChunk = int(v) &^ 1 }},
	{"node_lease", 1, 60, func(p *Policy, v float64) { p.NodeLease = protocol.Seconds(v) }},
	{"handback_after", 0, 600, func(p *Policy, v float64) { p.HandbackDelay = protocol.Seconds(v) }},
	{"probe_after", 0.5, 600, func(p *Policy, v float64) { p.ProbeAfter = protocol.Seconds(v) }},
	{"suspect_after", 0.5, 600, func(p *Policy, v float64) { p.SuspectAfter = protocol.Seconds(v) }},
	{"fence_after", 1, 3600, func(p *Policy, v float64) { p.FenceAfter = protocol.Seconds(v) }},
	{"fence_replicas_after", 1, 3600, func(p *Policy, v float64) { p.FenceReplicasAfter = protocol.Seconds(v) }},
	{"zone_patience", 0, 3600, func(p *Policy, v float64) { p.PartitionPatience = protocol.Seconds(v) }},
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

// Load reads the defaults and, if path is not empty, an operators' file over them. A fault
// of a line is a *LineError.
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
