package replica

import (
	"slices"
	"strings"
	"time"

	"madderslip/internal/storage/records"
)

// Shard is a set of machines with one owner at a time, with what this controller remembers
// about it.
type Shard struct {
	Name    string
	Record  *records.Shard // nil: never owned
	Version uint64
	Ownership

	Machines []*Machine          // in use, by host
	Kinds    map[MachineKind]int // how many of them there are of each kind
	Claims   map[*Claim]struct{} // that place tasks on its machines alone
	Dirty    map[*Claim]struct{} // to be reconciled

	Changed     bool      // something has changed since the last pass over the queue
	ScheduledAt time.Time // when that pass was
	SweptAt     time.Time // when all claims were last marked dirty
	Load        ReportedLoad

	ImageRecording
	Consolidation
	Isolation
}

// Ownership is who acts for a shard.
type Ownership struct {
	// FencingToken is the revision at which this process acquired the shard; 0: it does
	// not own it.
	FencingToken   uint64
	OwnedSince     time.Time
	Writing        bool // a change of the shard's record is in progress
	NeedsNewToken  bool // to invalidate commands of unknown outcome
	TokenRaisedAt  time.Time
	OwnerlessSince time.Time // since when its owner is seen to be absent
	// NewOwner is the controller that reports that it has acquired the shard since, ahead of
	// the record, and NewOwnerToken its fencing token. Empty: none.
	NewOwner      string
	NewOwnerToken uint64
}

// ImageRecording is the progress of recording which images a shard's machines hold.
type ImageRecording struct {
	RecordingImages  bool
	ImagesRecordedAt time.Time
	ImagePart        int // the part recorded last
}

// Consolidation is when machines of a shard were last drained to be returned.
type Consolidation struct {
	DrainedAt              time.Time // when a machine was last drained for it
	ConsolidationCheckedAt time.Time // when a machine worth draining was last sought
}

// Isolation is whether a shard's machines are silent because this controller itself is cut
// off, as last determined.
type Isolation struct {
	SelfIsolated       bool
	IsolationCheckedAt time.Time
}

// Shard returns a shard, and makes it if the view does not have it yet.
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

// IsActive reports whether this process may act for a shard: it owns it, and the view holds
// everything that earlier owners committed.
func (v *View) IsActive(shard *Shard) bool {
	return shard != nil && shard.FencingToken != 0 && v.Revision >= shard.FencingToken
}

// RequestNewToken asks for a new fencing token, which ends the wait for a machine's starts
// of unknown outcome. It does so only for a machine that has been in contact since such a
// start, and that is not suspected of missing what is sent to it: no other could show the
// token, and each token is sent to every machine of the shard. This prevents several hundred
// calls every few seconds without effect while sixty machines hang.
func (s *Shard) RequestNewToken(machine *Machine) {
	isHeardSince := func(start UnknownStart) bool { return machine.Agent.LastContact.After(start.SentAt) }
	if !machine.Detector.Reachability.LikelyCannotReceive() && slices.ContainsFunc(machine.Commands.Unknown, isHeardSince) {
		s.NeedsNewToken = true
	}
}

// AddMachine adds a machine to those in use.
func (s *Shard) AddMachine(machine *Machine) {
	at, _ := slices.BinarySearchFunc(s.Machines, machine.Host, compareHost)
	s.Machines = slices.Insert(s.Machines, at, machine)
	s.Kinds[machine.Kind()]++
}

// RemoveMachine removes a machine from those in use, if it is one of them.
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

// ShardNames lists the shards by name.
func (v *View) ShardNames() []string {
	names := make([]string, 0, len(v.Shards))
	for name := range v.Shards {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
