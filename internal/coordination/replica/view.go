package replica

import (
	"log/slog"
	"time"

	"madderslip/internal/coordination/dag"
	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// View is one controller's cache of the records, with indexes derived from them. It is
// updated by the watch, by the controller's own commits and by reads, in any order; versions
// older than the cached one are ignored.
//
// The view has no lock of its own: the lock of its owner guards every method and field.
type View struct {
	// Loaded is set once all records have been read.
	Loaded bool
	// Revision is the revision up to which the view is complete.
	Revision uint64
	// CompleteAt is when the watch that reached Revision was sent: the view holds every change
	// that was committed before. The owner of the view sets it.
	CompleteAt time.Time
	// Versions holds the revision of each key's cached version.
	Versions map[string]uint64

	Nodes    map[string]NodeInfo // the live controllers
	Shards   map[string]*Shard
	Machines map[string]*Machine // by host, including those that are gone
	Jobs     map[string]*Job     // open jobs, and final ones whose claims are not all removed
	Claims   map[string]*Claim   // by key, including those whose first version is being committed
	// OrphanClaims are claims read before their job, by job ID and key. No inner map is empty.
	OrphanClaims     map[string]map[string]*Claim
	FinalJobs        map[string]FinalJob // at most maxFinalJobs
	Dependencies     *dag.Graph          // blocked jobs and what they depend on
	Teams            map[string]*TeamUsage
	Quota            *quota.Manager
	Provisions       map[string]*Provision              // by name: provision requests whose answer is not recorded yet
	Groups           map[string]MachineGroup            // by the provision's name
	GangReservations map[string]*GangReservation        // by job ID
	ImageRecords     map[string]*records.ImageLocations // by key
	// MachineTypes are the cloud's machine types by name, as the controller last fetched them.
	MachineTypes map[string]*protocol.MachineType

	// Indexes derived from the above.
	Hosts              map[string]*HostUse // by host: the use of each host that has a machine record or that a claim names
	CrossShardClaims   map[*Claim]struct{} // claims that are placed across shards
	UseByShard         map[TeamShard]quota.Resources
	UseByTeam          map[string]quota.Resources // summed over all shards and cross-shard claims
	ServiceUse         map[string]quota.Resources // by team: use of services, whose tasks do not end by themselves
	CommittedUse       map[string]quota.Resources // by team: use of placements that stay whether or not commits in progress succeed
	CancelledJobs      map[string]*Job            // cancelled jobs that are in Jobs
	EarlyCancellations map[string]*Job            // cancelled jobs whose cancellation was applied ahead of the watch
	Unplaced           map[string]*Job            // jobs that may have an unplaced task
	Returns            map[string]*Machine        // machines recorded as being returned, until they are recorded as gone

	// Urgent is set by a change that should not wait for the longer of the pauses between
	// passes. The owner clears it.
	Urgent bool
	// GPUJobSeenAt is when an open job that needs GPUs was last added.
	GPUJobSeenAt time.Time

	log      *slog.Logger
	observer Observer
}

// New returns an empty view for the teams of the settings, which the parameter configured
// holds. If allotments is false, no team limit is divided among shards.
func New(configured map[string]protocol.Team, allotments bool, log *slog.Logger, observer Observer) *View {
	view := &View{
		log:                log,
		observer:           observer,
		Versions:           make(map[string]uint64),
		Nodes:              make(map[string]NodeInfo),
		Shards:             make(map[string]*Shard),
		Machines:           make(map[string]*Machine),
		Jobs:               make(map[string]*Job),
		Claims:             make(map[string]*Claim),
		OrphanClaims:       make(map[string]map[string]*Claim),
		FinalJobs:          make(map[string]FinalJob),
		Teams:              make(map[string]*TeamUsage),
		Provisions:         make(map[string]*Provision),
		Groups:             make(map[string]MachineGroup),
		GangReservations:   make(map[string]*GangReservation),
		ImageRecords:       make(map[string]*records.ImageLocations),
		Hosts:              make(map[string]*HostUse),
		CrossShardClaims:   make(map[*Claim]struct{}),
		UseByShard:         make(map[TeamShard]quota.Resources),
		UseByTeam:          make(map[string]quota.Resources),
		ServiceUse:         make(map[string]quota.Resources),
		CommittedUse:       make(map[string]quota.Resources),
		CancelledJobs:      make(map[string]*Job),
		EarlyCancellations: make(map[string]*Job),
		Unplaced:           make(map[string]*Job),
		Returns:            make(map[string]*Machine),
	}
	view.Dependencies = dag.NewGraph(view.JobState)
	view.Quota = quota.New(configured, allotments, view.UsedBy)
	return view
}
