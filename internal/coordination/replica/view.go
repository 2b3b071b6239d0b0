package replica

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/dag"
	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// View is one controller's cache of the records, with indexes derived from them. It is
// fed by the watch, by the controller's own commits and by reads, in any order; older
// versions than the cached one are ignored.
//
// The view has no lock: every method and field is guarded by its owner's.
type View struct {
	// Loaded is set once all records were read.
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
	// OrphanClaims are claims read before their job, by job. No set is empty.
	OrphanClaims     map[string]map[string]*Claim
	FinalJobs        map[string]FinalJob
	Dependencies     *dag.Graph // jobs that are blocked on others
	Teams            map[string]*TeamUsage
	Quota            *quota.Manager
	Provisions       map[string]*Provision // without an answer yet
	Groups           map[string]MachineGroup
	GangReservations map[string]*GangReservation
	ImageRecords     map[string]*records.ImageLocations
	// MachineTypes are the cloud's, as last fetched.
	MachineTypes map[string]*protocol.MachineType

	// Indexes derived from the above.
	Hosts              map[string]*HostUse
	CrossShardClaims   map[*Claim]struct{} // on machines of several shards
	UseByShard         map[TeamShard]quota.Resources
	UseByTeam          map[string]quota.Resources
	ServiceUse         map[string]quota.Resources // by team: what services use, which do not end
	CommittedUse       map[string]quota.Resources // by team: what is placed however commits under way end
	CancelledJobs      map[string]*Job            // with claims left
	EarlyCancellations map[string]*Job            // known ahead of the watch
	Unplaced           map[string]*Job            // a task may be without a machine
	Returns            map[string]*Machine        // recorded as being returned, not carried out

	// Urgent is set when something is new that should not wait.
	Urgent bool
	// GPUJobSeenAt is when a job that needs GPUs was last seen to arrive.
	GPUJobSeenAt time.Time

	log      *slog.Logger
	observer Observer
}

// Observer is told of changes of a view by the view's owner's calls, in the middle of
// applying them: the view is consistent but for what the call is about.
type Observer interface {
	// VersionObserved is called for every version of a key that is new to the view.
	VersionObserved(key string, version uint64, exists bool)
	// ShardChanged is called in place of applying a shard's record: ownership is its
	// owner's concern. A nil record means that there is none.
	ShardChanged(shard string, record *records.Shard, version uint64)
	// LeaderChanged is called in place of applying the leader's record: leadership depends
	// on the process, not on the record alone. A nil record means that there is none.
	LeaderChanged(record *records.Leader, version uint64)
	// NodesChanged is called after a controller's record was applied.
	NodesChanged()
	// MachineRecorded is called when a host gets its first record.
	MachineRecorded(host string)
	// JobChanged is called when an open job's record was applied, before its claims are
	// marked.
	JobChanged(job *Job)
	// RevisionReached is called when the watch has come to a revision.
	RevisionReached()
	// RecordsChanged is called after each applied record.
	RecordsChanged()
}

// New returns an empty view. configured are the teams of the settings; with allotments
// unset no team limit is divided among shards.
func New(configured map[string]protocol.Team, allotments bool, log *slog.Logger, observer Observer) *View {
	v := &View{
		log: log, observer: observer,
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
	v.Dependencies = dag.NewGraph(v.JobState)
	v.Quota = quota.New(configured, allotments, v.UsedBy)
	return v
}

// Relist takes a complete reading. What it lacks was dropped meanwhile.
func (v *View) Relist(items []kv.Item, epoch uint64) {
	have := make(map[string]bool, len(items))
	for _, item := range items {
		have[item.Key] = true
		v.ApplyItem(item)
	}
	var gone []string
	for key, version := range v.Versions {
		if !have[key] && version <= epoch {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		v.Apply(key, nil, epoch)
	}
	v.Loaded = true
	v.ReachRevision(epoch)
}

// Apply takes a record of the ledger into the cache. Older versions than the
// cached one are ignored: watch, own commits and reads arrive in any order.
func (v *View) Apply(key string, record any, version uint64) {
	if version <= v.Versions[key] {
		return
	}
	v.Versions[key] = version
	v.observer.VersionObserved(key, version, record != nil)
	switch {
	case strings.HasPrefix(key, records.JobPrefix):
		record, _ := record.(*records.Job)
		v.ApplyJob(strings.TrimPrefix(key, records.JobPrefix), record, version)
	case strings.HasPrefix(key, records.ClaimPrefix):
		record, _ := record.(*records.Claim)
		v.ApplyClaim(key, record, version)
	case strings.HasPrefix(key, records.MachinePrefix):
		record, _ := record.(*records.Machine)
		v.ApplyMachine(strings.TrimPrefix(key, records.MachinePrefix), record, version)
	case strings.HasPrefix(key, records.ShardPrefix):
		r, _ := record.(*records.Shard)
		v.observer.ShardChanged(strings.TrimPrefix(key, records.ShardPrefix), r, version)
	case strings.HasPrefix(key, records.NodePrefix):
		record, _ := record.(*records.Node)
		v.ApplyNode(strings.TrimPrefix(key, records.NodePrefix), record, version)
	case strings.HasPrefix(key, records.TeamUsagePrefix):
		if r, ok := record.(*records.TeamUsage); ok && r != nil {
			usage := v.Team(strings.TrimPrefix(key, records.TeamUsagePrefix))
			usage.Record, usage.Version = *r, version
		}
	case strings.HasPrefix(key, records.TeamLimitPrefix):
		r, _ := record.(*records.TeamLimit)
		v.Quota.ApplyLimit(strings.TrimPrefix(key, records.TeamLimitPrefix), r, version)
	case strings.HasPrefix(key, records.AllotmentPrefix):
		r, _ := record.(*records.Allotment)
		v.Quota.ApplyAllotment(strings.TrimPrefix(key, records.AllotmentPrefix), r, version)
	case strings.HasPrefix(key, records.ReservationPrefix):
		r, _ := record.(*records.Reservations)
		v.Quota.ApplyReservations(strings.TrimPrefix(key, records.ReservationPrefix), r, version)
	case strings.HasPrefix(key, records.ProvisionPrefix):
		record, _ := record.(*records.Provision)
		v.ApplyProvision(strings.TrimPrefix(key, records.ProvisionPrefix), record, version)
	case strings.HasPrefix(key, records.ImagePrefix):
		record, _ := record.(*records.ImageLocations)
		v.ApplyImages(key, record)
	case strings.HasPrefix(key, records.GangReservationPrefix):
		record, _ := record.(*records.GangReservation)
		v.ApplyGangReservation(strings.TrimPrefix(key, records.GangReservationPrefix), record, version)
	case strings.HasPrefix(key, records.GangHoldPrefix):
		record, _ := record.(*records.GangHold)
		v.ApplyGangHold(strings.TrimPrefix(key, records.GangHoldPrefix), record, version)
	case key == records.LeaderKey:
		r, _ := record.(*records.Leader)
		v.observer.LeaderChanged(r, version)
	}
	v.observer.RecordsChanged()
}

// ApplyItem decodes an item of the ledger and stores it.
func (v *View) ApplyItem(item kv.Item) {
	if item.Version <= v.Versions[item.Key] {
		return
	}
	var record any
	if item.Value != nil {
		record = NewRecord(item.Key)
		if record == nil {
			return
		}
		if err := protocol.Decode(item.Value, record); err != nil {
			v.log.Error("record undecodable", "key", item.Key, "err", err)
			return
		}
	}
	v.Apply(item.Key, record, item.Version)
}

func NewRecord(key string) any {
	switch {
	case strings.HasPrefix(key, records.JobPrefix):
		return new(records.Job)
	case strings.HasPrefix(key, records.ClaimPrefix):
		return new(records.Claim)
	case strings.HasPrefix(key, records.MachinePrefix):
		return new(records.Machine)
	case strings.HasPrefix(key, records.ShardPrefix):
		return new(records.Shard)
	case strings.HasPrefix(key, records.NodePrefix):
		return new(records.Node)
	case strings.HasPrefix(key, records.TeamUsagePrefix):
		return new(records.TeamUsage)
	case strings.HasPrefix(key, records.TeamLimitPrefix):
		return new(records.TeamLimit)
	case strings.HasPrefix(key, records.AllotmentPrefix):
		return new(records.Allotment)
	case strings.HasPrefix(key, records.ReservationPrefix):
		return new(records.Reservations)
	case strings.HasPrefix(key, records.ProvisionPrefix):
		return new(records.Provision)
	case strings.HasPrefix(key, records.ImagePrefix):
		return new(records.ImageLocations)
	case strings.HasPrefix(key, records.GangReservationPrefix):
		return new(records.GangReservation)
	case strings.HasPrefix(key, records.GangHoldPrefix):
		return new(records.GangHold)
	case key == records.LeaderKey:
		return new(records.Leader)
	}
	return nil
}

// ReachRevision takes it that the watch is complete up to a revision.
func (v *View) ReachRevision(epoch uint64) {
	v.Revision = max(v.Revision, epoch)
	for _, jobID := range slices.Sorted(maps.Keys(v.EarlyCancellations)) {
		if job := v.EarlyCancellations[jobID]; !v.mayHaveClaims(job.Record, job.Version) {
			delete(v.EarlyCancellations, jobID)
			v.forgetIfOver(job)
		}
	}
	v.observer.RevisionReached()
}
