package protocol

import "time"

// Settings is the platform's settings file, checked and in Go's own types. LoadSettings
// makes it; nobody changes it afterwards.
type Settings struct {
	NodeName    string // this controller's
	Zone        string // where this controller stands
	PublicAddr  string // IP address and port for users and workers
	PeerAddr    string // IP address and port for other controllers
	Peers       []Peer // the other controllers
	CloudAddr   string // of the cloud's API
	StateAddr   string // of the state service
	NodeCount   int    // controllers, this one included
	Zones       []string
	ClockError  time.Duration // how far a clock may be off; nothing uses it yet
	Teams       map[string]Team
	Objectives  []Objective
	Workers     WorkerSettings
	StateLimits StateLimits
	// AnnouncedStateLimits are the limits that the state service will have from some moment on,
	// without notice. What is 0 is not announced.
	AnnouncedStateLimits StateLimits
	CloudLimits          CloudLimits
	ProcessLimits        ProcessLimits
	PolicyFile           string // the operators' policy; empty: the defaults hold
	// Warnings are what contradicts itself and can be read all the same, one line each.
	// The service starts: it must not refuse a platform's settings for a guest's.
	Warnings []string
}

// Peer is another controller: its name, its zone, and the IP address and port for other
// controllers.
type Peer struct{ Node, Zone, Addr string }

// Team has guarantees and limits, in CPUs and GPUs; a limit of 0 means there is none.
type Team struct {
	Name                                             string
	GuaranteedCPUs, MaxCPUs, GuaranteedGPUs, MaxGPUs float64
}

// Objective is one service-level objective on starting or finishing jobs.
type Objective struct {
	Kind   string        // "guarantee", "wait", "finished" or "deadline"; others are not aimed at
	Class  string        // of the jobs that it holds for
	Within time.Duration // from the submission
	// TargetShare is the part of the jobs that must meet it, from 0 to 1; nothing uses it yet.
	TargetShare float64
	// DeadlineFactor is what a job's own deadline is multiplied by; below 1 counts as 1.
	DeadlineFactor float64
}

// WorkerSettings are the periods and leases that workers keep.
type WorkerSettings struct {
	HeartbeatInterval time.Duration // between two heartbeats of an agent, a quarter more or less
	LeaseDuration     time.Duration // an agent unanswered for so long stops its tasks
	GangStartTimeout  time.Duration // a gang's task waits so long for the others to start
	GangPeerTimeout   time.Duration // within it a gang's task notices that another has gone
	CancelDeadline    time.Duration // a cancelled job's tasks must have ended within it
}

// StateLimits are the budgets of the state service.
type StateLimits struct {
	RequestRate   float64 // requests a second
	WriteRate     float64 // writes a second
	MaxValueBytes int     // of one record
	MaxTxnOps     int     // changes in one transaction
}

// Sizes of a claim's record, in bytes.
const (
	claimOverheadBytes  = 1024 // all but the placements, with room to spare
	placementBytes      = 36   // one placement, with room to spare
	tightClaimOverhead  = 384  // the same, closely
	tightPlacementBytes = 24
	maxTightPlacements  = 100
)

// MaxPlacements is how many placements of one claim fit a value, with room for the
// rest of the record. Small values are used more closely: the exact size is
// checked again when placements are added.
func (l StateLimits) MaxPlacements() int {
	roomy := (l.MaxValueBytes - claimOverheadBytes) / placementBytes
	tight := (l.MaxValueBytes - tightClaimOverhead) / tightPlacementBytes
	return max(1, roomy, min(maxTightPlacements, tight))
}

// LoweredBy are the limits once others, as far as these are announced and lower, hold as
// well.
func (l StateLimits) LoweredBy(next StateLimits) StateLimits {
	if next.RequestRate > 0 {
		l.RequestRate = min(l.RequestRate, next.RequestRate)
	}
	if next.WriteRate > 0 {
		l.WriteRate = min(l.WriteRate, next.WriteRate)
	}
	if next.MaxValueBytes > 0 {
		l.MaxValueBytes = min(l.MaxValueBytes, next.MaxValueBytes)
	}
	if next.MaxTxnOps > 0 {
		l.MaxTxnOps = min(l.MaxTxnOps, next.MaxTxnOps)
	}
	return l
}

// RecordLimits are the limits that every new record and transaction keeps: those of
// today and the announced ones alike.
func (s *Settings) RecordLimits() StateLimits { return s.StateLimits.LoweredBy(s.AnnouncedStateLimits) }

// CloudLimits are the budget and the lag of the cloud's API.
type CloudLimits struct {
	RequestRate float64       // requests a second
	ListLag     time.Duration // how old the list of machines may be
}

// ProcessLimits bound this process.
type ProcessLimits struct {
	CPUShare    float64 // of the processor; nothing uses it yet
	MemoryBytes int64
	MaxConns    int // sockets of all kinds, open at once
}
