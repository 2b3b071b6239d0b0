package records

//go:generate go tool easyjson -output_filename claims_easyjson.go claims.go

import (
	"math"
	"slices"
	"strconv"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Claim is a chunk of a job that a shard has claimed, with its placements and its completed
// tasks. The shard's owner writes it. The first write is conditional on the record's absence,
// later ones on the known version. Each write is also conditional on the owner's fencing
// token, and a write that places tasks is conditional on the Job as well, so that no task of
// a cancelled job starts. The record is deleted once its job is final.
//
//easyjson:json
type Claim struct {
	Shard       string      `json:"h"` // shard that claimed the chunk; empty: placed across shards, each shard's owner updates the placements on its own machines
	FirstTask   int         `json:"f,omitempty"`
	TaskCount   int         `json:"n"`
	Completed   Bitmap      `json:"d,omitempty"` // the completed tasks, by their numbers relative to FirstTask
	Placements  []Placement `json:"o,omitempty"`
	LastAttempt uint64      `json:"a,omitempty"` // the highest attempt number given to any task of the chunk
}

// IsCompleted reports whether a task of the chunk, given by its number in the job, is
// completed.
func (c *Claim) IsCompleted(task int) bool { return c.Completed.has(task - c.FirstTask) }

// MarkCompleted marks a task of the chunk, given by its number in the job, as completed.
func (c *Claim) MarkCompleted(task int) { c.Completed.set(task - c.FirstTask) }

// CompletedCount returns the number of completed tasks.
func (c *Claim) CompletedCount() int { return c.Completed.count() }

// IsComplete reports whether every task is completed.
func (c *Claim) IsComplete() bool { return c.CompletedCount() == c.TaskCount }

// Clone returns a deep copy.
func (c *Claim) Clone() *Claim {
	clone := *c
	clone.Completed = slices.Clone(c.Completed)
	clone.Placements = slices.Clone(c.Placements)
	return &clone
}

// MaxEncodedSize returns an upper bound on the size of the encoded record in bytes.
func (c *Claim) MaxEncodedSize() int {
	size := claimOverhead + len(c.Shard)
	c.Completed.visitRangeBounds(func(i int) { size += digitCount(i) + len(",") })
	for i := range c.Placements {
		size += c.Placements[i].MaxEncodedSize()
	}
	return size
}

// claimOverhead bounds the size of an encoded claim in bytes, without its lists and the name
// of its shard.
const claimOverhead = 96

// Placement is a task that is or may be on a machine. It is recorded before the start command
// is sent and removed once it is certain that the task is not on the machine.
type Placement struct {
	Task    int
	Attempt uint64
	Host    string
}

// MarshalEasyJSON encodes the placement as [task,attempt,"host"]: hundreds of placements have
// to fit into one value.
func (p Placement) MarshalEasyJSON(w *jwriter.Writer) {
	w.RawByte('[')
	w.Int(p.Task)
	w.RawByte(',')
	w.Uint64(p.Attempt)
	w.RawByte(',')
	w.String(p.Host)
	w.RawByte(']')
}

// UnmarshalEasyJSON decodes the form that MarshalEasyJSON writes; a list of another length is
// an error. The host's name is interned, since hundreds of placements share it.
func (p *Placement) UnmarshalEasyJSON(l *jlexer.Lexer) {
	l.Delim('[')
	p.Task = l.Int()
	l.WantComma()
	p.Attempt = l.Uint64()
	l.WantComma()
	p.Host = l.StringIntern()
	l.WantComma()
	l.Delim(']')
}

// MaxEncodedSize returns an upper bound on the bytes that the placement adds to its encoded
// claim.
func (p *Placement) MaxEncodedSize() int {
	return len(`[,,""],`) + digitCount(p.Task) + digitCount(int(min(p.Attempt, math.MaxInt))) + len(p.Host)
}

func digitCount(i int) int { return len(strconv.Itoa(i)) }
