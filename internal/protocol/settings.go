package protocol

import "time"

// Settings is the validated content of the platform's settings file in Go's types.
// LoadSettings returns it; it is not modified afterwards.
type Settings struct {
	NodeName    string // of this controller
	Zone        string // of this controller
	PublicAddr  string // IP address and port for users and workers
	PeerAddr    string // IP address and port for other controllers
	Peers       []Peer // the other controllers
	CloudAddr   string // of the cloud's API
	StateAddr   string // of the state service
	NodeCount   int    // number of controllers, this one included
	Zones       []string
	ClockError  time.Duration // by which a clock may be wrong; not used yet
	Teams       map[string]Team
	Objectives  []Objective
	Workers     WorkerSettings
	StateLimits StateLimits
	// AnnouncedStateLimits are the limits that the state service will have in the future. It
	// introduces them without notice. For a limit of 0 no change is announced.
	AnnouncedStateLimits StateLimits
	CloudLimits          CloudLimits
	ProcessLimits        ProcessLimits
	PolicyFile           string // the operators' policy; empty: the defaults apply
	// Warnings describe contradictory settings, one line each. They do not prevent the
	// controller from starting: it must not refuse the platform's settings because of those
	// of a guest team.
	Warnings []string
}

// Peer is another controller: its name, its zone, and its IP address and port for
// controllers.
type Peer struct{ Node, Zone, Addr string }

// Team holds a team's guarantees and limits in CPUs and GPUs; a limit of 0 means no limit.
type Team struct {
	Name                                             string
	GuaranteedCPUs, MaxCPUs, GuaranteedGPUs, MaxGPUs float64
}

// Objective is one service-level objective on starting or finishing jobs.
type Objective struct {
	Kind   string        // "guarantee", "wait", "finished" or "deadline"; other kinds are ignored
	Class  string        // of the jobs that the objective applies to
	Within time.Duration // from the submission
	// TargetShare is the part of the jobs, from 0 to 1, that must meet the objective; not
	// used yet.
	TargetShare float64
	// DeadlineFactor is the factor by which a job's own deadline is multiplied; a factor
	// below 1 counts as 1.
	DeadlineFactor float64
}

// WorkerSettings are the intervals and timeouts that workers observe.
type WorkerSettings struct {
	HeartbeatInterval time.Duration // between an agent's heartbeats, plus or minus a quarter
	LeaseDuration     time.Duration // an agent that gets no response for this long stops its tasks
	GangStartTimeout  time.Duration // longest that a gang's task waits for the others to start
	GangPeerTimeout   time.Duration // within which a gang's task detects the loss of another
	CancelDeadline    time.Duration // within which a cancelled job's tasks must have ended
}

// StateLimits are the budgets of the state service.
type StateLimits struct {
	RequestRate   float64 // requests per second
	WriteRate     float64 // writes per second
	MaxValueBytes int     // of one record
	MaxTxnOps     int     // changes in one transaction
}

// Estimated sizes of a claim's record in bytes, and a limit of MaxPlacements.
const (
	claimOverheadBytes  = 1024 // all but the placements, conservative estimate
	placementBytes      = 36   // one placement, conservative estimate
	tightClaimOverhead  = 384  // all but the placements, tight estimate
	tightPlacementBytes = 24   // one placement, tight estimate
	maxTightPlacements  = 100  // most placements that the tight estimate gives
)

// MaxPlacements returns the number of placements with which one claim's record fits a value.
// If values are small, the estimate is tight: the exact size is checked again when placements
// are added.
func (l StateLimits) MaxPlacements() int {
	conservative := (l.MaxValueBytes - claimOverheadBytes) / placementBytes
	tight := (l.MaxValueBytes - tightClaimOverhead) / tightPlacementBytes
	return max(1, conservative, min(maxTightPlacements, tight))
}

// LoweredBy returns the limits that apply once the announced limits next apply as well: the
// lower of both where next announces one.
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

// RecordLimits returns the limits that every new record and transaction observes: the lower
// of the present and the announced ones.
func (s *Settings) RecordLimits() StateLimits { return s.StateLimits.LoweredBy(s.AnnouncedStateLimits) }

// CloudLimits are the rate limit and the list lag of the cloud's API.
type CloudLimits struct {
	RequestRate float64       // requests per second
	ListLag     time.Duration // by which the list of machines may be out of date
}

// ProcessLimits bound this process.
type ProcessLimits struct {
	CPUShare    float64 // part of the processor; not used yet
	MemoryBytes int64
	MaxConns    int // open sockets of all kinds
}
