package kv

//go:generate go tool easyjson -output_filename wire_easyjson.go wire.go

import "encoding/json"

// What the state service is told and answers. The watch brings every change to every
// controller, so the messages marked below are read and written by generated code.

type wireItem struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
}

// wireList answers a request for a page of keys.
//
//easyjson:json
type wireList struct {
	Items     []wireItem `json:"items"`
	Truncated bool       `json:"truncated"`
	Revision  uint64     `json:"epoch"`
}

// wireChange is one change: either Set or Delete names its key.
type wireChange struct {
	Set     string          `json:"set"`
	Delete  string          `json:"drop"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
}

// wireWatch answers a watch.
//
//easyjson:json
type wireWatch struct {
	Revision uint64       `json:"epoch"`
	Changes  []wireChange `json:"news"`
}

type wireCompare struct {
	Key     string `json:"key"`
	Version uint64 `json:"stamp"`
}

// wireOp is one change of a transaction: either Set or Delete names its key.
type wireOp struct {
	Set    string          `json:"set,omitempty"`
	Delete string          `json:"drop,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
}

// wireTxn is a batch of transactions, as the service executes it: whole or not at all.
//
//easyjson:json
type wireTxn struct {
	Compares []wireCompare `json:"if"`
	Ops      []wireOp      `json:"writes"`
}

// wireTxnAnswer answers a wireTxn.
//
//easyjson:json
type wireTxnAnswer struct {
	Revision   uint64   `json:"epoch"`
	FailedKeys []string `json:"failed"`
	Error      string   `json:"error"`
}

// reasonLeaseExpired is the reason that the state service gives when a key was to be
// attached to a lease that has ended. Its protocol tells that apart from a malformed
// request by this text alone.
const reasonLeaseExpired = "no such lease"

// wireValue answers a request for one key.
type wireValue struct {
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
}

// wireLease answers a request for a lease.
type wireLease struct {
	Lease uint64 `json:"permit"`
}
