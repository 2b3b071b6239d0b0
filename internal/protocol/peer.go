package protocol

//go:generate go tool easyjson -output_filename peer_easyjson.go peer.go

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Amounts are amounts by name. They are written in the order of the names, as
// everything that controllers send is: a schedule replays to the letter.
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

// UnmarshalEasyJSON undoes MarshalEasyJSON.
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

// PeerMessage is what controllers send each other. All of it is advice: every
// decision that matters is settled by the state service.
//
//easyjson:json
type PeerMessage struct {
	From    string      `json:"from"`
	Loads   []ShardLoad `json:"loads,omitempty"`
	Updates []KeyUpdate `json:"fresh,omitempty"`
	// Intents are claims that the sender is about to make: its copies of the
	// same work need not try as well.
	ClaimIntents []string `json:"intents,omitempty"`
	// Planned are claims for which the sender is displacing other work.
	PreemptionIntents []string `json:"planned,omitempty"`
	// Waits is how many changes wait at the sender for the state service's budget.
	PendingChanges int `json:"waits,omitempty"`
	// Beat marks the message of every second, which alone tells Waits.
	Periodic bool `json:"beat,omitempty"`
	// Wants are what the sender's shards could start if their teams' allotments
	// reached. Wanting marks a message that tells all of them, none included.
	Demands         []Demand `json:"wants,omitempty"`
	DemandsComplete bool     `json:"wanting,omitempty"`
	// StateReachable tells that the sender heard from the state service just now.
	StateReachable bool `json:"stateOk"`
	// Took, in an answer, tells that the news were taken. Older versions do not say.
	Accepted bool `json:"took,omitempty"`
}

// ShardLoad is a shard's load as its owner sees it.
type ShardLoad struct {
	Shard string `json:"shard"`
	// Token is the revision at which the sender acquired the shard. A controller
	// that holds an older one owns it no longer, whatever its records say.
	FencingToken    uint64  `json:"token,omitempty"`
	CPUs            float64 `json:"cpus"`   // of all usable machines
	UsedCPUs        float64 `json:"used"`   // by placed tasks
	QueuedCPUs      float64 `json:"queued"` // wanted by its queue
	FreeCPUsByImage Amounts `json:"holds"`  // image: largest free CPUs on one machine holding it
	// Barred are machines that do not count: their owner gives them nothing new for
	// good and they are not returned yet, or they are late in coming up.
	ExcludedHosts []string `json:"barred,omitempty"`
	// Shy are kinds, "type/zone", whose machines the owner sees fail to come up, and
	// how many times as dear as it is each should seem.
	Unreliability Amounts `json:"shy,omitempty"`
}

// Demand is what a shard could start this moment within its team's limit, if its
// allotment reached.
type Demand struct {
	Team         string    `json:"team"`
	Holder       string    `json:"holder"` // the shard, or "*": across shards
	Head         Resources `json:"head"`   // what its first job needs to start
	PerTask      Resources `json:"unit"`   // one task of it
	Total        Resources `json:"total"`
	Priority     int       `json:"rank"`
	AcceptedAtMs int64     `json:"born"` // Unix milliseconds
	JobID        string    `json:"ref"`
	AllOrNothing bool      `json:"whole,omitempty"`
	Anticipated  bool      `json:"ahead,omitempty"` // its room is not there yet
	WaitedMs     int64     `json:"waitedMs"`
}

// KeyUpdate passes a just-committed record on, ahead of the watch.
type KeyUpdate struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
}
