package protocol

import (
	"fmt"
	"math"
	"net/netip"
)

const (
	bytesPerKB = 1 << 10
	bytesPerMB = 1 << 20

	// minTxnOps is the smallest limit of changes per transaction that controllers can
	// work with: the end of a job, its last claim and its team's record change together.
	minTxnOps = 4
)

// newSettingError returns an error in the value of a key. LoadSettings adds the file's name.
func newSettingError(key, format string, args ...any) *SettingError {
	return &SettingError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// settings validates and converts a settings file section by section. It returns the first
// error.
func (w *wireSettings) settings() (Settings, *SettingError) {
	s := Settings{
		NodeName:      w.Node,
		Zone:          w.Area,
		PublicAddr:    w.PublicAddr,
		PeerAddr:      w.PeerBind,
		CloudAddr:     w.Outside.Cloud,
		StateAddr:     w.Outside.State,
		Zones:         w.Cluster.Zones,
		ClockError:    Seconds(w.Cluster.ClockError / 1000),
		Workers:       w.workerSettings(),
		StateLimits:   w.stateLimits(),
		CloudLimits:   CloudLimits{RequestRate: w.Cluster.Cloud.RPS, ListLag: Seconds(w.Cluster.Cloud.ListLag)},
		ProcessLimits: w.processLimits(),
		PolicyFile:    w.Policy,
	}
	sections := []func(*Settings) *SettingError{
		w.checkIdentity,
		w.readPeers,
		w.checkAddresses,
		w.checkAboveZero,
		w.checkSizes,
		w.readNodeCount,
		w.readTeams,
		w.readObjectives,
		w.readAnnouncedLimits,
	}
	for _, section := range sections {
		if fault := section(&s); fault != nil {
			return Settings{}, fault
		}
	}
	return s, nil
}

// checkIdentity checks that this controller's name and zone are set.
func (w *wireSettings) checkIdentity(*Settings) *SettingError {
	if w.Node == "" {
		return newSettingError("node", "is missing")
	}
	if w.Area == "" {
		return newSettingError("area", "is missing")
	}
	return nil
}

// readPeers reads the other controllers, whose names must be set and unique.
func (w *wireSettings) readPeers(s *Settings) *SettingError {
	seen := map[string]bool{w.Node: true}
	for i, other := range w.Others {
		key := peerKey(i) + ".node"
		if other.Node == "" {
			return newSettingError(key, "is missing")
		}
		if seen[other.Node] {
			return newSettingError(key, "names a controller twice: %s", other.Node)
		}
		seen[other.Node] = true
		s.Peers = append(s.Peers, Peer{Node: other.Node, Zone: other.Area, Addr: other.Endpoint})
	}
	return nil
}

func peerKey(index int) string { return fmt.Sprintf("others[%d]", index) }

// checkAddresses checks that every address is an IP address and port. Host names are not
// accepted.
func (w *wireSettings) checkAddresses(s *Settings) *SettingError {
	type address struct{ key, value string }
	addresses := []address{
		{"public_addr", w.PublicAddr},
		{"peer_bind", w.PeerBind},
		{"outside.cloud", w.Outside.Cloud},
		{"outside.state", w.Outside.State},
	}
	for i, peer := range s.Peers {
		addresses = append(addresses, address{peerKey(i) + ".endpoint", peer.Addr})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return newSettingError(a.key, "wants an IP address and port, has %q", a.value)
		}
	}
	return nil
}

// checkAboveZero checks the periods, rates and sizes that must be finite and above 0.
func (w *wireSettings) checkAboveZero(*Settings) *SettingError {
	c := &w.Cluster
	amounts := []struct {
		key   string
		value float64
	}{
		{"cluster.workers.report_s", c.Workers.Report},
		{"cluster.workers.lease_s", c.Workers.Lease},
		{"cluster.workers.gang_wait_s", c.Workers.GangWait},
		{"cluster.workers.gang_peer_s", c.Workers.GangPeer},
		{"cluster.workers.cancel_s", c.Workers.Cancel},
		{"cluster.state.rps", c.State.RPS},
		{"cluster.state.write_rps", c.State.WriteRPS},
		{"cluster.state.value_kb", c.State.ValueKB},
		{"cluster.state.txn_ops", float64(c.State.TxnOps)},
		{"cluster.cloud.rps", c.Cloud.RPS},
		{"cluster.machine_limits.cpu_share", c.Limits.CPUShare},
		{"cluster.machine_limits.ram_mb", c.Limits.RAM},
		{"cluster.machine_limits.max_connections", float64(c.Limits.Conns)},
	}
	for _, amount := range amounts {
		if !(amount.value > 0) || math.IsInf(amount.value, 0) {
			return newSettingError(amount.key, "must be above 0, has %v", amount.value)
		}
	}
	return nil
}

// checkSizes checks that a transaction may hold at least minTxnOps changes, and that there is
// a zone.
func (w *wireSettings) checkSizes(*Settings) *SettingError {
	if w.Cluster.State.TxnOps < minTxnOps {
		return newSettingError("cluster.state.txn_ops", "must be at least %d", minTxnOps)
	}
	if len(w.Cluster.Zones) == 0 {
		return newSettingError("cluster.zones", "is empty")
	}
	return nil
}

// readNodeCount reads the number of controllers. The default is the number of controllers
// that the file lists.
func (w *wireSettings) readNodeCount(s *Settings) *SettingError {
	s.NodeCount = w.Cluster.Nodes
	if s.NodeCount == 0 {
		s.NodeCount = 1 + len(s.Peers)
	}
	return nil
}

// readTeams reads the teams. Contradictory settings of a team are a warning, not an error:
// see Settings.Warnings.
func (w *wireSettings) readTeams(s *Settings) *SettingError {
	s.Teams = make(map[string]Team)
	for i, wire := range w.Cluster.Teams {
		key := fmt.Sprintf("cluster.teams[%d]", i)
		if wire.Name == "" {
			return newSettingError(key+".name", "is missing")
		}
		for _, amount := range []float64{wire.CPUs, wire.CPUsMax, wire.GPUs, wire.GPUsMax} {
			if !(amount >= 0) || math.IsInf(amount, 0) {
				return newSettingError(key, "has a negative or infinite amount")
			}
		}
		team := Team{
			Name:           wire.Name,
			GuaranteedCPUs: wire.CPUs,
			MaxCPUs:        wire.CPUsMax,
			GuaranteedGPUs: wire.GPUs,
			MaxGPUs:        wire.GPUsMax,
		}
		if _, twice := s.Teams[team.Name]; twice {
			s.Warnings = append(s.Warnings, fmt.Sprintf("%s: team %s stands there twice, the latter counts", key, team.Name))
		}
		s.Warnings = append(s.Warnings, team.guaranteesAboveLimit(key)...)
		s.Teams[team.Name] = team
	}
	return nil
}

// guaranteesAboveLimit returns a warning for each guarantee that is above its limit.
func (t *Team) guaranteesAboveLimit(key string) []string {
	var warnings []string
	for _, resource := range []struct {
		key              string
		guarantee, limit float64
	}{
		{"cpus", t.GuaranteedCPUs, t.MaxCPUs},
		{"gpus", t.GuaranteedGPUs, t.MaxGPUs},
	} {
		if resource.limit > 0 && resource.guarantee > resource.limit {
			warnings = append(warnings, fmt.Sprintf("%s: team %s has %s = %g above its limit of %g, the limit counts",
				key, t.Name, resource.key, resource.guarantee, resource.limit))
		}
	}
	return warnings
}

// readObjectives reads the service-level objectives.
func (w *wireSettings) readObjectives(s *Settings) *SettingError {
	for i, objective := range w.Cluster.Objectives {
		if objective.WithinS < 0 || objective.Kind == "" {
			return newSettingError(fmt.Sprintf("cluster.objectives[%d]", i), "wants a kind and no negative time")
		}
		s.Objectives = append(s.Objectives, Objective{
			Kind:           objective.Kind,
			Class:          objective.Class,
			Within:         Seconds(objective.WithinS),
			TargetShare:    objective.Share,
			DeadlineFactor: objective.Times,
		})
	}
	return nil
}

// readAnnouncedLimits reads the limits that the state service will have in the future. For a
// limit of 0 no change is announced.
func (w *wireSettings) readAnnouncedLimits(s *Settings) *SettingError {
	next := w.Cluster.State.Next
	if !(next.WriteRPS >= 0 && next.ValueKB >= 0 && next.TxnOps >= 0) {
		return newSettingError("cluster.state.next", "has a negative limit")
	}
	if next.TxnOps > 0 && next.TxnOps < minTxnOps {
		return newSettingError("cluster.state.next.txn_ops", "must be at least %d", minTxnOps)
	}
	s.AnnouncedStateLimits = StateLimits{
		WriteRate:     next.WriteRPS,
		MaxValueBytes: int(next.ValueKB * bytesPerKB),
		MaxTxnOps:     next.TxnOps,
	}
	return nil
}

func (w *wireSettings) workerSettings() WorkerSettings {
	workers := &w.Cluster.Workers
	return WorkerSettings{
		HeartbeatInterval: Seconds(workers.Report),
		LeaseDuration:     Seconds(workers.Lease),
		GangStartTimeout:  Seconds(workers.GangWait),
		GangPeerTimeout:   Seconds(workers.GangPeer),
		CancelDeadline:    Seconds(workers.Cancel),
	}
}

func (w *wireSettings) stateLimits() StateLimits {
	state := &w.Cluster.State
	return StateLimits{
		RequestRate:   state.RPS,
		WriteRate:     state.WriteRPS,
		MaxValueBytes: int(state.ValueKB * bytesPerKB),
		MaxTxnOps:     state.TxnOps,
	}
}

func (w *wireSettings) processLimits() ProcessLimits {
	limits := &w.Cluster.Limits
	return ProcessLimits{
		CPUShare:    limits.CPUShare,
		MemoryBytes: int64(limits.RAM * bytesPerMB),
		MaxConns:    limits.Conns,
	}
}
