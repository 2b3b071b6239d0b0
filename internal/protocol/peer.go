package protocol

//go:generate go tool easyjson -output_filename peer_easyjson.go peer.go

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Amounts are amounts by name. They are written in the order of the names, so that a
// simulation that is repeated sends the same bytes.
type Amounts map[string]float64

// MarshalEasyJSON writes the amounts.
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

// UnmarshalEasyJSON reads what MarshalEasyJSON writes; null is no amounts.
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

// PeerMessage is what controllers send each other, each second and when something changes.
// All of it is advice: missing, late or wrong, it costs time, and no rule rests on it.
// Transactions on the records decide.
//
//easyjson:json
type PeerMessage struct {
	From    string      `json:"from"`
	Loads   []ShardLoad `json:"loads,omitempty"`
	Updates []KeyUpdate `json:"fresh,omitempty"`
	// ClaimIntents are the keys of claims that the sender is about to create. The jobs'
	// other shards need not try as well.
	ClaimIntents []string `json:"intents,omitempty"`
	// PreemptionIntents are the keys of claims for which the sender is preempting tasks.
	PreemptionIntents []string `json:"planned,omitempty"`
	// PendingChanges is how many of the sender's changes wait for the state service's rate
	// limit. Only a periodic message tells it.
	PendingChanges int `json:"waits,omitempty"`
	// Periodic marks the message of each second.
	Periodic bool `json:"beat,omitempty"`
	// Demands are what the sender's shards could start with larger allotments. They are
	// all of them, none included, if DemandsComplete is set.
	Demands         []Demand `json:"wants,omitempty"`
	DemandsComplete bool     `json:"wanting,omitempty"`
	// StateReachable reports whether the sender has reached the state service just now.
	StateReachable bool `json:"stateOk"`
	// Accepted, in an answer, reports that the updates were applied. Older versions do not
	// set it.
	Accepted bool `json:"took,omitempty"`
}

// ShardLoad is a shard's load as its owner sees it.
type ShardLoad struct {
	Shard string `json:"shard"`
	// FencingToken is the revision at which the sender acquired the shard. A controller
	// with an older one does not own the shard any more, whatever it has read.
	FencingToken    uint64  `json:"token,omitempty"`
	CPUs            float64 `json:"cpus"`   // of its machines
	UsedCPUs        float64 `json:"used"`   // by placed tasks
	QueuedCPUs      float64 `json:"queued"` // of the tasks in its queue
	FreeCPUsByImage Amounts `json:"holds"`  // by image: the most that is free on one machine with the image
	// ExcludedHosts are machines that do not count: quarantined ones that are not
	// returned yet, and those that are late to boot.
	ExcludedHosts []string `json:"barred,omitempty"`
	// Unreliability is the factor, by "type/zone", by which the price of machines that
	// fail to boot should seem higher.
	Unreliability Amounts `json:"shy,omitempty"`
}

// Demand is what a shard, or the work across shards, could start of a team this moment with
// a larger allotment of the team's limit.
type Demand struct {
	Team         string    `json:"team"`
	Holder       string    `json:"holder"` // the shard, or "*": across shards
	Head         Resources `json:"head"`   // what the first job needs to start
	PerTask      Resources `json:"unit"`   // one task of the first job
	Total        Resources `json:"total"`  // all that could be started
	Priority     int       `json:"rank"`
	AcceptedAtMs int64     `json:"born"` // Unix milliseconds
	JobID        string    `json:"ref"`
	AllOrNothing bool      `json:"whole,omitempty"`
	Anticipated  bool      `json:"ahead,omitempty"` // there is no capacity for it yet
	WaitedMs     int64     `json:"waitedMs"`        // how long the first job has waited, milliseconds
}

// KeyUpdate is a version of a record that the sender has just committed, ahead of the
// receiver's watch.
type KeyUpdate struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
}
