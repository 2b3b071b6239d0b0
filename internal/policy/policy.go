// Package policy holds the operators' own settings: expressions that are
// type-checked when they are loaded, with built-in defaults. The language is
// expr-lang's; the checker's errors carry the line and column in the file.
package policy

import (
	_ "embed"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/expr-lang/expr"

	"madderslip/internal/protocol"
)

//go:embed default.policy
var defaults string

// Policy is the checked and evaluated policy.
type Policy struct {
	Copies                    int
	TasksPerChunk             int
	NodeLease                 time.Duration
	HandbackDelay             time.Duration
	ProbeAfter                time.Duration
	SuspectAfter              time.Duration
	FenceAfter                time.Duration
	FenceReplicasAfter        time.Duration // with replicas of services
	WarmShare                 float64
	GPUMachineReserve         int
	GPUMachineShare           float64
	ArrayWait                 time.Duration
	StartAheadAfter           time.Duration // that an array waits for its turn to begin
	BestEffortWait            time.Duration // the same for arrays of the lowest rank
	BestEffortShare           float64
	BestEffortProvisionShare  float64
	BestEffortGPUMachineShare float64
	IdleMachineTTL            time.Duration
	RefusedOfferPause         time.Duration
	CompletionBatchDelay      time.Duration
	Allotments                bool          // limits are divided among the shards
	PartitionPatience         time.Duration // with machines of a zone that seems cut off
}

// bound is what a name may be.
type bound struct{ low, high float64 }

var bounds = map[string]bound{
	"copies": {1, 64}, "chunk_tasks": {2, 128}, "node_lease": {1, 60}, "handback_after": {0, 600},
	"probe_after": {0.5, 600}, "suspect_after": {0.5, 600}, "fence_after": {1, 3600}, "fence_replicas_after": {1, 3600},
	"warm_share": {0, 10}, "card_reserve": {0, 1000}, "card_share": {0, 1}, "array_wait": {1, 3600}, "begin_by": {1, 86400}, "idle_wait": {1, 86400}, "idle_share": {0, 1}, "idle_rent": {0, 1}, "idle_cards": {0, 1}, "idle_after": {0, 86400}, "refused_pause": {1, 3600}, "book_after": {0, 60}, "zone_patience": {0, 3600}, "allotments": {0, 1},
}

// Load reads the defaults and, if path is not empty, an operators' file over them.
func Load(path string, s protocol.Settings) (Policy, error) {
	env := map[string]float64{
		"report": s.Workers.HeartbeatInterval.Seconds(), "lease": s.Workers.LeaseDuration.Seconds(), "cancel": s.Workers.CancelDeadline.Seconds(),
		"list_lag": s.CloudLimits.ListLag.Seconds(), "state_rps": s.StateLimits.RequestRate,
		"state_write_rps": s.StateLimits.WriteRate, "cloud_rps": s.CloudLimits.RequestRate,
		"nodes": float64(s.NodeCount), "zones": float64(len(s.Zones)),
	}
	values := make(map[string]float64)
	if err := read("default.policy", defaults, env, values); err != nil {
		return Policy{}, err
	}
	if path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			return Policy{}, fmt.Errorf("policy: %w", err)
		}
		if err := read(path, string(raw), env, values); err != nil {
			return Policy{}, err
		}
	}
	sec := func(name string) time.Duration { return protocol.Seconds(values[name]) }
	p := Policy{Copies: int(values["copies"]), TasksPerChunk: int(values["chunk_tasks"]) &^ 1,
		NodeLease: sec("node_lease"), HandbackDelay: sec("handback_after"), ProbeAfter: sec("probe_after"),
		SuspectAfter: sec("suspect_after"), FenceAfter: sec("fence_after"), FenceReplicasAfter: sec("fence_replicas_after"), WarmShare: values["warm_share"],
		GPUMachineReserve: int(values["card_reserve"]), GPUMachineShare: values["card_share"], ArrayWait: sec("array_wait"), StartAheadAfter: sec("begin_by"), BestEffortWait: sec("idle_wait"), BestEffortShare: values["idle_share"], BestEffortProvisionShare: values["idle_rent"], BestEffortGPUMachineShare: values["idle_cards"], IdleMachineTTL: sec("idle_after"), RefusedOfferPause: sec("refused_pause"), CompletionBatchDelay: sec("book_after"), PartitionPatience: sec("zone_patience"), Allotments: values["allotments"] != 0}
	if p.FenceReplicasAfter <= p.SuspectAfter {
		return Policy{}, fmt.Errorf("policy: fence_replicas_after (%v) must be above suspect_after (%v)", p.FenceReplicasAfter, p.SuspectAfter)
	}
	if p.FenceAfter <= p.SuspectAfter {
		return Policy{}, fmt.Errorf("policy: fence_after (%v) must be above suspect_after (%v)", p.FenceAfter, p.SuspectAfter)
	}
	return p, nil
}

func read(file, text string, env, values map[string]float64) error {
	for i, line := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(line)
		if trimmed == "" || strings.HasPrefix(trimmed, "#") {
			continue
		}
		name, source, ok := strings.Cut(line, "=")
		at := strings.Index(line, "=") + 2
		name = strings.TrimSpace(name)
		if !ok {
			return fmt.Errorf("%s:%d:1: wants name = expression", file, i+1)
		}
		b, known := bounds[name]
		if !known {
			return fmt.Errorf("%s:%d:1: unknown name %q", file, i+1, name)
		}
		v, err := evaluate(source, env)
		if err != nil {
			return fmt.Errorf("%s:%d:%d: %s: %w", file, i+1, at, name, err)
		}
		if !(v >= b.low && v <= b.high) || math.IsNaN(v) {
			return fmt.Errorf("%s:%d:%d: %s is %v, must be from %v to %v", file, i+1, at, name, v, b.low, b.high)
		}
		values[name] = v
	}
	return nil
}

func evaluate(source string, env map[string]float64) (float64, error) {
	program, err := expr.Compile(source, expr.Env(env), expr.AsFloat64())
	if err != nil {
		// The library draws the place on further lines; one line is enough.
		text, _, _ := strings.Cut(err.Error(), "\n")
		return 0, errors.New(text)
	}
	out, err := expr.Run(program, env)
	if err != nil {
		return 0, err
	}
	v, ok := out.(float64)
	if !ok {
		return 0, fmt.Errorf("is no number but %T", out)
	}
	return v, nil
}
