package protocol

import "encoding/json"

// PeerMessage is what controllers send each other. All of it is advice: every
// decision that matters is settled by the state service.
type PeerMessage struct {
	From  string    `json:"from"`
	Loads []Load    `json:"loads,omitempty"`
	Fresh []KeyNews `json:"fresh,omitempty"`
	// Intents are claims that the sender is about to make: its copies of the
	// same work need not try as well.
	Intents []string `json:"intents,omitempty"`
	// Planned are claims for which the sender is displacing other work.
	Planned []string `json:"planned,omitempty"`
	// StateOK tells that the sender heard from the state service just now.
	StateOK bool `json:"stateOk"`
}

// Load is a shard's load as its owner sees it.
type Load struct {
	Shard  string             `json:"shard"`
	CPUs   float64            `json:"cpus"`   // of all usable machines
	Used   float64            `json:"used"`   // by placed tasks
	Queued float64            `json:"queued"` // wanted by its queue
	Holds  map[string]float64 `json:"holds"`  // image: largest free CPUs on one machine holding it
	// Barred are machines that its owner gives nothing new for good, and that are
	// not returned yet.
	Barred []string `json:"barred,omitempty"`
}

// KeyNews passes a just-committed record on, ahead of the watch.
type KeyNews struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
}
