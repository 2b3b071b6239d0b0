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
// fed by the watch, by the controller's own commits and by reads, in any order; older
// versions than the cached one are ignored.
//
// The view has no lock: its owner's guards every method and field.
type View struct {
	// Loaded is set once all records have been read.
	Loaded bool
	// Revision is the revision up to which the view is complete.
	Revision uint64
	// Versions holds the revision of each key's cached version.
	Versions map[string]uint64

	Nodes    map[string]NodeInfo
	Shards   map[string]*Shard
	Machines map[string]*Machine
	Jobs     map[string]*Job   // open, or final with claims left to clear
	Claims   map[string]*Claim // by key, those being committed for the first time included
	// OrphanClaims are claims read before their job, by job and key. No set is empty.
	OrphanClaims     map[string]map[string]*Claim
	FinalJobs        map[string]FinalJob
	Dependencies     *dag.Graph // blocked jobs and what they depend on
	Teams            map[string]*TeamUsage
	Quota            *quota.Manager
	Provisions       map[string]*Provision              // whose answer is not recorded yet
	Groups           map[string]MachineGroup            // by the provision's name
	GangReservations map[string]*GangReservation        // by job
	ImageRecords     map[string]*records.ImageLocations // by key
	// MachineTypes are the cloud's by name, as the controller last fetched them.
	MachineTypes map[string]*protocol.MachineType

	// Indexes derived from the above.
	Hosts              map[string]*HostUse
	CrossShardClaims   map[*Claim]struct{} // on machines of several shards
	UseByShard         map[TeamShard]quota.Resources
	UseByTeam          map[string]quota.Resources
	ServiceUse         map[string]quota.Resources // by team: of services, whose tasks do not end by themselves
	CommittedUse       map[string]quota.Resources // by team: what is placed however commits in progress end
	CancelledJobs      map[string]*Job            // cancelled, with claims left
	EarlyCancellations map[string]*Job            // cancellations known ahead of the watch
	Unplaced           map[string]*Job            // a task may be without a machine
	Returns            map[string]*Machine        // recorded as being returned, not carried out

	// Urgent is set when something has changed that should not wait for the next regular pass.
	// The owner clears it.
	Urgent bool
	// GPUJobSeenAt is when a job that needs GPUs was last seen to arrive.
	GPUJobSeenAt time.Time

	log      *slog.Logger
	observer Observer
}

// New returns an empty view. configured are the teams of the settings; with allotments
// unset no team limit is divided among shards.
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
