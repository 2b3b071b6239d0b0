package protocol

//go:generate go tool easyjson -output_filename peer_easyjson.go peer.go

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Amounts maps names to amounts. It is encoded in the order of the names, so that a repeated
// simulation sends the same bytes.
type Amounts map[string]float64

// MarshalEasyJSON writes the amounts as an object.
func (a Amounts) MarshalEasyJSON(w *jwriter.Writer) {
	w.RawByte('{')
	for i, name := range slices.Sorted(maps.Keys(a)) {
		if i > 0 {
			w.RawByte(',')
		}
		w.String(name)
		w.RawByte(':')
		w.Float64(a[name])
	}
	w.RawByte('}')
}

// UnmarshalEasyJSON reads what MarshalEasyJSON writes; null gives an empty map.
func (a *Amounts) UnmarshalEasyJSON(l *jlexer.Lexer) {
	*a = make(Amounts)
	if l.IsNull() {
		l.Skip()
		return
	}
	l.Delim('{')
	for !l.IsDelim('}') && l.Ok() {
		name := l.StringIntern()
		l.WantColon()
		(*a)[name] = l.Float64()
		l.WantComma()
	}
	l.Delim('}')
}

// PeerMessage is sent by controllers to each other, once a second and after changes. Its
// content is advisory: a lost, late or wrong message costs time, but no guarantee depends on
// a message, since transactions on the records decide.
//
//easyjson:json
type PeerMessage struct {
	From    string      `json:"from"`
	Loads   []ShardLoad `json:"loads,omitempty"`
	Updates []KeyUpdate `json:"fresh,omitempty"`
	// ClaimIntents are the keys of claims that the sender is about to create. The owners of
	// the jobs' other shards need not try to claim the same chunks.
	ClaimIntents []string `json:"intents,omitempty"`
	// PreemptionIntents are the keys of claims for which the sender is preempting tasks.
	PreemptionIntents []string `json:"planned,omitempty"`
	// PendingChanges is the number of the sender's changes that wait for the state service's
	// rate limit. It is valid in periodic messages only.
	PendingChanges int `json:"waits,omitempty"`
	// Periodic marks the message that is sent once a second.
	Periodic bool `json:"beat,omitempty"`
	// Demands lists what the sender's shards could start with larger allotments. If
	// DemandsComplete is set, the list is complete, and an empty one means no demands;
	// otherwise the message does not report demands.
	Demands         []Demand `json:"wants,omitempty"`
	DemandsComplete bool     `json:"wanting,omitempty"`
	// StateReachable reports whether a recent call of the sender to the state service has
	// succeeded. In messages of older versions that are not periodic it is always set.
	StateReachable bool `json:"stateOk"`
	// Accepted reports, in a response, whether the updates were applied. Older versions
	// never set it.
	Accepted bool `json:"took,omitempty"`
	// StateServedAtMs is when the state service last executed a call of the sender, Unix
	// milliseconds by the sender's clock. Older versions do not set it.
	StateServedAtMs int64 `json:"stateAt,omitempty"`
}

// ShardLoad is a shard's load as computed by the shard's owner.
type ShardLoad struct {
	Shard string `json:"shard"`
	// FencingToken is the revision at which the sender acquired the shard. A controller
	// whose token for the shard is older no longer owns the shard, even if its copy of the
	// records still shows it as the owner.
	FencingToken    uint64  `json:"token,omitempty"`
	CPUs            float64 `json:"cpus"`   // CPUs of the shard's machines
	UsedCPUs        float64 `json:"used"`   // CPUs used by placed tasks
	QueuedCPUs      float64 `json:"queued"` // CPUs of the unplaced tasks in the shard's queue
	FreeCPUsByImage Amounts `json:"holds"`  // for each image, the largest number of free CPUs of a machine that caches the image
	// ExcludedHosts are machines that do not count as supply: quarantined ones that are not
	// returned yet, and those that have not booted in time.
	ExcludedHosts []string `json:"barred,omitempty"`
	// Unreliability maps "type/zone" to the factor by which provisioning multiplies the
	// price of such machines because some have failed to boot.
	Unreliability Amounts `json:"shy,omitempty"`
}

// Demand is the amount of a team's work that a shard, or the work across shards, could start
// immediately with a larger allotment of the team's limit. If there is no such work, Demand is
// the work of jobs that wait for capacity, and Anticipated is set. In the comments of the
// fields, the demand's first job is the job of this work that precedes the others in the
// queue.
type Demand struct {
	Team         string    `json:"team"`
	Holder       string    `json:"holder"` // the shard, or "*" for work across shards
	Head         Resources `json:"head"`   // resources that the demand's first job needs to start
	PerTask      Resources `json:"unit"`   // resources of one task of the demand's first job
	Total        Resources `json:"total"`  // resources of all tasks that could be started
	Priority     int       `json:"rank"`
	AcceptedAtMs int64     `json:"born"` // when the demand's first job was accepted, Unix milliseconds
	JobID        string    `json:"ref"`
	AllOrNothing bool      `json:"whole,omitempty"` // the demand's first job starts completely or not at all
	Anticipated  bool      `json:"ahead,omitempty"` // there is no capacity for the demand's first job yet
	WaitedMs     int64     `json:"waitedMs"`        // how long the demand's first job has waited, milliseconds
}

// KeyUpdate is a version of a record that the sender has just committed. It usually arrives
// before the receiver's watch delivers the same version.
type KeyUpdate struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
}
