package kv

//go:generate go tool easyjson -output_filename wire_easyjson.go wire.go

import "encoding/json"

// What the state service is told and answers. It is read and written by
// generated code, since the watch brings every change to every controller.

type wireItem struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
}

//easyjson:json
type wireList struct {
	Items     []wireItem `json:"items"`
	Truncated bool       `json:"truncated"`
	Epoch     uint64     `json:"epoch"`
}

type wireNews struct {
	Set   string          `json:"set"`
	Drop  string          `json:"drop"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
}

//easyjson:json
type wireWatch struct {
	Epoch uint64     `json:"epoch"`
	News  []wireNews `json:"news"`
}

type wireCond struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

type wireOp struct {
	Set    string          `json:"set,omitempty"`
	Drop   string          `json:"drop,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Permit uint64          `json:"permit,omitempty"`
}

//easyjson:json
type wireMulti struct {
	If     []wireCond `json:"if"`
	Writes []wireOp   `json:"writes"`
}

//easyjson:json
type wireResult struct {
	Epoch  uint64   `json:"epoch"`
	Failed []string `json:"failed"`
	Error  string   `json:"error"`
}
