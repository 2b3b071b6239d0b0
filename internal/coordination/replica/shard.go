package replica

import (
	"slices"
	"strings"
	"time"

	"madderslip/internal/storage/records"
)

// Shard is a set of machines with one owner at a time.
type Shard struct {
	Name    string
	Record  *records.Shard // nil: never owned
	Version uint64
	Ownership

	Machines []*Machine          // in use, by host
	Kinds    map[MachineKind]int // how many of them there are of each kind
	Claims   map[*Claim]struct{} // held by the shard
	Dirty    map[*Claim]struct{} // to be reconciled

	Changed     bool      // something has changed since the last pass over the queue
	ScheduledAt time.Time // when that was
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
	Writing        bool // a change of the shard's record is under way
	NeedsNewToken  bool // to invalidate commands of unknown outcome
	TokenRaisedAt  time.Time
	OwnerlessSince time.Time // since when its owner is seen to be away
	// NewOwner is the controller that says it has acquired the shard since, ahead of the
	// record, and NewOwnerToken its token. Empty: none.
	NewOwner      string
	NewOwnerToken uint64
}

// ImageRecording is the progress of recording which images a shard's machines hold.
type ImageRecording struct {
	RecordingImages  bool
	ImagesRecordedAt time.Time
	ImagePart        int // the part recorded last
}

// Consolidation is when machines of a shard were last emptied to be returned.
type Consolidation struct {
	DrainedAt              time.Time
	ConsolidationCheckedAt time.Time // when a machine worth emptying was last sought
}

// Isolation is whether the silence of a shard's machines is this controller's own fault,
// as last determined.
type Isolation struct {
	SelfIsolated       bool
	IsolationCheckedAt time.Time
}

func (v *View) Shard(name string) *Shard {
	shard := v.Shards[name]
	if shard == nil {
		shard = &Shard{Name: name, Kinds: make(map[MachineKind]int), Claims: make(map[*Claim]struct{}), Dirty: make(map[*Claim]struct{})}
		v.Shards[name] = shard
	}
	return shard
}

// IsActive tells whether this process may act for a shard: it owns it, and its
// cache holds everything that earlier owners committed.
func (v *View) IsActive(shard *Shard) bool {
	return shard != nil && shard.FencingToken != 0 && v.Revision >= shard.FencingToken
}

// RequestNewToken asks for a new token to settle a machine's commands of unknown fate. One
// that has given no sign of life since could not show it, nor can one that does not hear
// what it is sent, and each token is shown to every machine of the shard: with sixty
// machines hanging, several hundred calls went out every few seconds for nothing.
func (s *Shard) RequestNewToken(machine *Machine) {
	if !machine.Detector.Reachability.Suspect() && slices.ContainsFunc(machine.Commands.Unknown, func(u UnknownStart) bool { return machine.Agent.LastContact.After(u.SentAt) }) {
		s.NeedsNewToken = true
	}
}

// AddMachine and discharge keep a shard's list of machines in use.
func (s *Shard) AddMachine(machine *Machine) {
	at, _ := slices.BinarySearchFunc(s.Machines, machine.Host, func(x *Machine, host string) int { return strings.Compare(x.Host, host) })
	s.Machines = slices.Insert(s.Machines, at, machine)
	s.Kinds[machine.Kind()]++
}

func (s *Shard) RemoveMachine(machine *Machine) {
	at, ok := slices.BinarySearchFunc(s.Machines, machine.Host, func(x *Machine, host string) int { return strings.Compare(x.Host, host) })
	if ok {
		s.Machines = slices.Delete(s.Machines, at, at+1)
		if k := machine.Kind(); s.Kinds[k] > 1 {
			s.Kinds[k]--
		} else {
			delete(s.Kinds, k)
		}
	}
}

func (v *View) ShardNames() []string {
	names := make([]string, 0, len(v.Shards))
	for name := range v.Shards {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
