package kv

//go:generate go tool easyjson -output_filename wire_easyjson.go wire.go

import "encoding/json"

// Messages of the state service's API. The watch delivers every change to every controller,
// so the messages marked below are encoded and decoded by generated code.

type wireItem struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
}

// wireList is the answer to a request for a page of keys.
//
//easyjson:json
type wireList struct {
	Items     []wireItem `json:"items"`
	Truncated bool       `json:"truncated"`
	Revision  uint64     `json:"epoch"`
}

// wireChange is a change that a watch reports: either Set or Delete is its key.
type wireChange struct {
	Set     string          `json:"set"`
	Delete  string          `json:"drop"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
}

// wireWatch is the answer to a watch.
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

// wireOp is a change of a transaction: either Set or Delete is its key.
type wireOp struct {
	Set    string          `json:"set,omitempty"`
	Delete string          `json:"drop,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
}

// wireTxn is a batch of transactions, which the state service executes atomically.
//
//easyjson:json
type wireTxn struct {
	Compares []wireCompare `json:"if"`
	Ops      []wireOp      `json:"writes"`
}

// wireTxnAnswer is the answer to a wireTxn.
//
//easyjson:json
type wireTxnAnswer struct {
	Revision   uint64   `json:"epoch"`
	FailedKeys []string `json:"failed"`
	Error      string   `json:"error"`
}

// reasonLeaseExpired is the reason that the state service gives when a change attaches a key
// to an expired lease. Only this text distinguishes that answer from the answer to a
// malformed request.
const reasonLeaseExpired = "no such lease"

// wireValue is the answer to a request for one key.
type wireValue struct {
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
}

// wireLease is the answer to a request for a lease.
type wireLease struct {
	Lease uint64 `json:"permit"`
}
