package records

//go:generate go tool easyjson -output_filename claims_easyjson.go claims.go

import (
	"math"
	"slices"
	"strconv"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Claim is a chunk of a job that is claimed by a shard, with its placements and its
// completed tasks. The shard's owner writes it. The first version is conditional on there
// being none, later ones on the version known; each is conditional on the owner's fencing
// token, and a version that places tasks on the Job as well, so that nothing starts of a
// cancelled job. It is deleted once its job is final.
//
//easyjson:json
type Claim struct {
	Shard       string      `json:"h"` // empty: placed across shards, and each owner updates its own machines' part
	FirstTask   int         `json:"f,omitempty"`
	TaskCount   int         `json:"n"`
	Completed   Bitmap      `json:"d,omitempty"` // counted from FirstTask
	Placements  []Placement `json:"o,omitempty"`
	LastAttempt uint64      `json:"a,omitempty"` // the highest attempt given to any task of it
}

// IsCompleted reports whether a task of the chunk, by its number in the job, is completed.
func (c *Claim) IsCompleted(task int) bool { return c.Completed.has(task - c.FirstTask) }

// MarkCompleted marks a task of the chunk, by its number in the job, as completed.
func (c *Claim) MarkCompleted(task int) { c.Completed.set(task - c.FirstTask) }

// CompletedCount returns how many tasks are completed.
func (c *Claim) CompletedCount() int { return c.Completed.count() }

// IsComplete reports whether every task is completed.
func (c *Claim) IsComplete() bool { return c.CompletedCount() == c.TaskCount }

// Clone returns a copy that shares nothing with c.
func (c *Claim) Clone() *Claim {
	clone := *c
	clone.Completed = slices.Clone(c.Completed)
	clone.Placements = slices.Clone(c.Placements)
	return &clone
}

// MaxEncodedSize returns an upper bound of the record's size in bytes.
func (c *Claim) MaxEncodedSize() int {
	size := claimOverhead + len(c.Shard)
	c.Completed.visitRangeBounds(func(i int) { size += digitCount(i) + len(",") })
	for i := range c.Placements {
		size += c.Placements[i].MaxEncodedSize()
	}
	return size
}

// claimOverhead bounds the bytes of a claim's record beside its lists and its shard.
const claimOverhead = 96

// Placement is a task that is, or may be, on a machine: it is recorded before the start is
// sent, and removed once it is proved that the task is not there.
type Placement struct {
	Task    int
	Attempt uint64
	Host    string
}

// MarshalEasyJSON writes [task,attempt,"host"]: hundreds of placements have to fit into
// one value.
func (p Placement) MarshalEasyJSON(w *jwriter.Writer) {
	w.RawByte('[')
	w.Int(p.Task)
	w.RawByte(',')
	w.Uint64(p.Attempt)
	w.RawByte(',')
	w.String(p.Host)
	w.RawByte(']')
}

// UnmarshalEasyJSON reads what MarshalEasyJSON writes; a list of another length is an
// error. The host's name is interned, since hundreds of placements share it.
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

// MaxEncodedSize returns an upper bound of the bytes that the placement adds to its
// claim's record.
func (p *Placement) MaxEncodedSize() int {
	return len(`[,,""],`) + digitCount(p.Task) + digitCount(int(min(p.Attempt, math.MaxInt))) + len(p.Host)
}

func digitCount(i int) int { return len(strconv.Itoa(i)) }
