package replica

import (
	"slices"
	"strings"
	"time"

	"madderslip/internal/storage/records"
)

// Shard is a set of machines with one owner at a time, with the state that this controller
// keeps beside the shard's record.
type Shard struct {
	Name    string
	Record  *records.Shard // nil: the shard never had an owner
	Version uint64
	Ownership

	Machines []*Machine          // the shard's machines in use, sorted by host
	Kinds    map[MachineKind]int // number of Machines by kind
	Claims   map[*Claim]struct{} // claims that place tasks on the shard's machines alone
	Dirty    map[*Claim]struct{} // claims to be reconciled

	Changed     bool      // something has changed since the last pass over the queue
	ScheduledAt time.Time // when the last pass over the queue began
	SweptAt     time.Time // when all claims were last marked dirty
	Load        ReportedLoad

	ImageRecording
	Consolidation
	Isolation
}

// Ownership is the state of a shard's ownership, as far as this process observes it or
// changes it.
type Ownership struct {
	// FencingToken is the revision at which this process acquired the shard; 0: this
	// process does not own the shard.
	FencingToken uint64
	OwnedSince   time.Time
	Writing      bool // a change of the shard's record is in progress
	// Renewal is why a new token is needed, to invalidate messages or commands sent under the
	// present one; empty: none is needed.
	Renewal        RenewalReason
	TokenRaisedAt  time.Time
	AcquiredFor    string        // why this process last tried to acquire the shard, as the log spells it
	Counts         CommandCounts // since they were last logged
	OwnerlessSince time.Time     // since when this process observes that the owner's lease has expired; zero: the lease has not expired
	// NewOwner is a controller that reported its ownership of the shard before the shard's
	// record arrived here, and NewOwnerToken is its fencing token. Empty: none.
	NewOwner      string
	NewOwnerToken uint64
}

// RenewalReason is why a shard needs a new fencing token, as the log spells it.
type RenewalReason string

const (
	RenewalRestart    RenewalReason = "agent restarted"            // messages of an agent's former incarnation may arrive
	RenewalNoRevision RenewalReason = "no later revision is owned" // a machine's token cannot rise without a write
)

// RenewToken requests a new fencing token for the shard.
func (s *Shard) RenewToken(reason RenewalReason) { s.Renewal = reason }

// ImageRecording is the progress of recording which images a shard's machines cache.
type ImageRecording struct {
	RecordingImages  bool
	ImagesRecordedAt time.Time
	ImagePart        int // number of the part of the shard's machines whose image record was last committed or found unchanged
}

// Consolidation is the progress of draining machines of a shard to return them.
type Consolidation struct {
	DrainedAt              time.Time // when the drain of a machine last began
	ConsolidationCheckedAt time.Time // when the shard was last searched for a machine worth draining
}

// Isolation is whether the silence of a shard's machines indicates a fault of this
// controller's own network links, as last determined.
type Isolation struct {
	SelfIsolated       bool
	IsolationCheckedAt time.Time
}

// Shard returns a shard, and creates it if the view does not have it yet.
func (v *View) Shard(name string) *Shard {
	shard := v.Shards[name]
	if shard == nil {
		shard = &Shard{
			Name:   name,
			Kinds:  make(map[MachineKind]int),
			Claims: make(map[*Claim]struct{}),
			Dirty:  make(map[*Claim]struct{}),
		}
		v.Shards[name] = shard
	}
	return shard
}

// IsActive reports whether this process may act for a shard: it owns the shard, and the view
// holds everything that earlier owners committed.
func (v *View) IsActive(shard *Shard) bool {
	return shard != nil && shard.FencingToken != 0 && v.Revision >= shard.FencingToken
}

// AddMachine adds a machine to the shard's machines in use.
func (s *Shard) AddMachine(machine *Machine) {
	at, _ := slices.BinarySearchFunc(s.Machines, machine.Host, compareHost)
	s.Machines = slices.Insert(s.Machines, at, machine)
	s.Kinds[machine.Kind()]++
}

// RemoveMachine removes a machine from the shard's machines in use, if it is one of them.
func (s *Shard) RemoveMachine(machine *Machine) {
	at, found := slices.BinarySearchFunc(s.Machines, machine.Host, compareHost)
	if !found {
		return
	}
	s.Machines = slices.Delete(s.Machines, at, at+1)
	if kind := machine.Kind(); s.Kinds[kind] > 1 {
		s.Kinds[kind]--
	} else {
		delete(s.Kinds, kind)
	}
}

// compareHost compares a machine's host with another host.
func compareHost(machine *Machine, host string) int { return strings.Compare(machine.Host, host) }

// ShardNames lists the names of the shards, sorted.
func (v *View) ShardNames() []string {
	names := make([]string, 0, len(v.Shards))
	for name := range v.Shards {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
