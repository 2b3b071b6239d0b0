package protocol

import "time"

// Settings is the validated content of the platform's settings file in Go's types.
// LoadSettings returns it; it is not modified afterwards.
type Settings struct {
	NodeName    string // name of this controller
	Zone        string // zone of this controller
	PublicAddr  string // IP address and port for users and workers
	PeerAddr    string // IP address and port for other controllers
	Peers       []Peer // the other controllers
	CloudAddr   string // address of the cloud's API
	StateAddr   string // address of the state service
	NodeCount   int    // number of controllers, this one included
	Zones       []string
	ClockError  time.Duration // largest error of a clock; not used yet
	Teams       map[string]Team
	Objectives  []Objective
	Workers     WorkerSettings
	StateLimits StateLimits
	// AnnouncedStateLimits are the limits that the state service will have in the future.
	// The service introduces them without notice. For a limit of 0 no change is announced.
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
	Class  string        // job class of the jobs to which the objective applies
	Within time.Duration // time limit, counted from the submission
	// TargetShare is the part of the jobs, from 0 to 1, that must meet the objective; not
	// used yet.
	TargetShare float64
	// DeadlineFactor is the factor by which a job's own deadline is multiplied; a factor
	// below 1 counts as 1.
	DeadlineFactor float64
}

// WorkerSettings are the intervals and timeouts that workers observe.
type WorkerSettings struct {
	HeartbeatInterval time.Duration // time between an agent's heartbeats, plus or minus a quarter
	LeaseDuration     time.Duration // an agent that gets no response for this long stops its tasks
	GangStartTimeout  time.Duration // longest time that a gang's task waits for the gang's other tasks to start
	GangPeerTimeout   time.Duration // time within which a gang's task detects the loss of another task of the gang
	CancelDeadline    time.Duration // time from the cancellation of a job within which the job's tasks must have ended
}

// StateLimits are the budgets of the state service.
type StateLimits struct {
	RequestRate   float64 // requests per second
	WriteRate     float64 // writes per second
	MaxValueBytes int     // largest size of a record
	MaxTxnOps     int     // largest number of changes in one transaction
}

// Parameters of MaxPlacements, which estimates in two ways how many placements fit a claim's
// record. Sizes are in bytes. The conservative estimate assumes larger sizes than the tight
// estimate.
const (
	claimOverheadBytes  = 1024 // size of the record without its placements, conservative estimate
	placementBytes      = 36   // size of one placement, conservative estimate
	tightClaimOverhead  = 384  // size of the record without its placements, tight estimate
	tightPlacementBytes = 24   // size of one placement, tight estimate
	maxTightPlacements  = 100  // upper bound on the number of placements by the tight estimate
)

// MaxPlacements returns the number of placements with which one claim's record fits a value.
// The tight estimate applies where it gives more placements, which is the case only if values
// are small. A tight estimate suffices because the exact size is checked again when placements
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
	ListLag     time.Duration // time by which the list of machines may be out of date
}

// ProcessLimits bound this process.
type ProcessLimits struct {
	CPUShare    float64 // part of the processor that this process may use; not used yet
	MemoryBytes int64
	MaxConns    int // largest number of open sockets of all kinds
}
