// Package ledger keeps the books: the client of the state service with its
// budgets, group commit and watch, and the records written there. The state
// service holds all truth; whatever a process has in memory is a cache of it.
package ledger

//go:generate go tool easyjson -output_filename records_easyjson.go records.go
//go:generate go tool easyjson -output_filename wire_easyjson.go wire.go

import (
	"fmt"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"madderslip/internal/protocol"
)

// Kinds of keys, each a prefix below the root.
const (
	NodeKeys    = "n/" // n/<node>: a live controller, attached to its lease
	ShardKeys   = "s/" // s/<shard>: the shard's owner; its revision is the token
	MachineKeys = "m/" // m/<host>: a rented machine and the shard it is in for life
	JobKeys     = "j/" // j/<ref>: an accepted job and, in the end, its final state
	ClaimKeys   = "c/" // c/<ref>/<chunk>: a claimed chunk, its placements and completions
	TeamKeys    = "t/" // t/<team>: what a limited team has reserved, by shard, where its limit is not allotted
	LimitKeys   = "l/" // l/<team>: a team's limit and how it was first divided
	AllotKeys   = "a/" // a/<team>/<holder>: what a holder has given away of its part
	BookKeys    = "k/" // k/<team>: what is booked on its guarantee, and what is taken from it for others
	HireKeys    = "h/" // h/<name>: a rental that may have been sent
	ImageKeys   = "i/" // i/<shard>/<part>: the images that a part of its machines hold
	GatherKeys  = "g/" // g/<ref>: the leader gathers room for a job, attached to its lease
	HoldKeys    = "o/" // o/<ref>/<shard>: room that a shard holds for it, attached to the owner's lease
	LeaderKey   = "lead"
)

// Shard is the ownership of one shard of machines. The revision of its latest
// change is the token that workers obey, so tokens only rise.
type Shard struct {
	Owner string `json:"o"`
	Epoch int    `json:"e"`           // counts changes, so that every change is one
	Away  int64  `json:"w,omitempty"` // Unix milliseconds until which it is not handed back: its home gave it away
}

// Node marks a live controller. Version, Teams and Pipelines tell the others what
// it understands and which limits it was given, for a restart one by one.
type Node struct {
	Boot      int64  `json:"b"`
	Version   int    `json:"v,omitempty"` // 1: allots limits
	Teams     uint64 `json:"q,omitempty"` // hash of its teams' limits
	Pipelines int    `json:"p,omitempty"` // 1: understands jobs that wait for others
}

// Machine is a rented machine.
//
//easyjson:json
type Machine struct {
	Shard string `json:"h"`
	Type  string `json:"t"`
	Zone  string `json:"z"`
	Spot  bool   `json:"s,omitempty"`
	State string `json:"x,omitempty"` // "", Returning or Gone
	Born  int64  `json:"b,omitempty"` // Unix milliseconds of the rental, for boot patience only
}

// ImageUse is an image in a machine's cache.
type ImageUse struct {
	Name string
	GB   float64
}

// Images is which images a part of a shard's machines hold, so that the next
// owner knows: indexes into Names by host, least recently used first.
type Images struct {
	Names []string         `json:"n"`
	GB    []float64        `json:"g"`
	Hosts map[string][]int `json:"m"`
}

// States of a machine. Both are final: such a machine is given nothing more.
const (
	Returning = "r"
	Gone      = "g"
)

// Job is an accepted job. Its description goes once the state is final.
//
//easyjson:json
type Job struct {
	Spec  *protocol.Submission `json:"d,omitempty"`
	At    []string             `json:"q,omitempty"` // the K shards it queues at
	Born  int64                `json:"b,omitempty"` // Unix milliseconds of acceptance, for order and advice only
	State string               `json:"x,omitempty"` // "", protocol.Done or protocol.Cancelled
	Tasks int                  `json:"n,omitempty"` // of a final job
	Size  int                  `json:"k,omitempty"` // tasks in a chunk
	Ended int64                `json:"e,omitempty"` // Unix milliseconds of its cancellation, from which the bound on its tasks counts
	// Needs are the jobs that a held job waits for: those of its user's list that were
	// not done when it was accepted.
	Needs Refs `json:"w,omitempty"`
	// Released is when a job that had waited for others was let into the queues, in
	// Unix milliseconds.
	Released int64 `json:"r,omitempty"`
}

// Held is the state of a job that waits for others. It is in no queue and has no
// claim. Versions that do not know it take it for a final state: they start nothing
// of the job and answer its users "pending", which it is.
const Held = protocol.Pending

// Final tells whether nothing can change any more.
func (j *Job) Final() bool { return j.State == protocol.Done || j.State == protocol.Cancelled }

// Placement is a task that is, or may be, on a machine.
type Placement struct {
	Task int
	Try  uint64
	Host string
}

// MarshalEasyJSON keeps placements short: many must fit one value.
func (p Placement) MarshalEasyJSON(w *jwriter.Writer) {
	w.RawByte('[')
	w.Int(p.Task)
	w.RawByte(',')
	w.Uint64(p.Try)
	w.RawByte(',')
	w.String(p.Host)
	w.RawByte(']')
}

// UnmarshalEasyJSON undoes MarshalEasyJSON. A host is named by hundreds of
// placements, so its name is kept once.
func (p *Placement) UnmarshalEasyJSON(l *jlexer.Lexer) {
	l.Delim('[')
	p.Task = l.Int()
	l.WantComma()
	p.Try = l.Uint64()
	l.WantComma()
	p.Host = l.StringIntern()
	l.WantComma()
	l.Delim(']')
}

// Claim is a chunk of a job held by one shard: the conditional claim of the
// design. First is its first task, Count their number; Done is a bitmap.
//
//easyjson:json
type Claim struct {
	Shard string      `json:"h"` // empty: on machines of several shards, each owner minds its own
	First int         `json:"f,omitempty"`
	Count int         `json:"n"`
	Done  Bitmap      `json:"d,omitempty"`
	Open  []Placement `json:"o,omitempty"`
	Try   uint64      `json:"a,omitempty"` // the highest attempt given out
}

// Bitmap is a set of small numbers, bit by bit. In a record it is a list of
// ranges, from and up to: tasks are placed in order, so there are few, while the
// bits of a chunk of some ten thousand tasks would not fit a small value.
type Bitmap []byte

func (b Bitmap) has(i int) bool { return i >= 0 && i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// MarshalEasyJSON writes the ranges.
func (b Bitmap) MarshalEasyJSON(w *jwriter.Writer) {
	w.RawByte('[')
	inside, first := false, true
	edge := func(i int) {
		if !first {
			w.RawByte(',')
		}
		w.Int(i)
		inside, first = !inside, false
	}
	for i := 0; i < 8*len(b); i++ {
		if b.has(i) != inside {
			edge(i)
		}
	}
	if inside {
		edge(8 * len(b))
	}
	w.RawByte(']')
}

// UnmarshalEasyJSON undoes MarshalEasyJSON.
func (b *Bitmap) UnmarshalEasyJSON(l *jlexer.Lexer) {
	*b = nil
	if l.IsNull() {
		l.Skip()
		return
	}
	l.Delim('[')
	for last := 0; !l.IsDelim(']') && l.Ok(); {
		from := l.Int()
		l.WantComma()
		upTo := l.Int()
		l.WantComma()
		if l.Ok() && (from < last || upTo < from || upTo > protocol.MaxTasks+8) {
			l.AddError(fmt.Errorf("range from %d up to %d after %d", from, upTo, last))
			return
		}
		for i := from; i < upTo; i++ {
			b.set(i)
		}
		last = upTo
	}
	l.Delim(']')
}

func (b *Bitmap) set(i int) {
	for len(*b) <= i/8 {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

// IsDone tells whether a task of the chunk is done.
func (c *Claim) IsDone(task int) bool {
	return c.Done.has(task - c.First)
}

// SetDone marks a task of the chunk done.
func (c *Claim) SetDone(task int) {
	c.Done.set(task - c.First)
}

// NumDone counts the tasks that are done.
func (c *Claim) NumDone() int {
	n := 0
	for _, b := range c.Done {
		n += bits.OnesCount8(b)
	}
	return n
}

// Full tells whether every task is done.
func (c *Claim) Full() bool { return c.NumDone() == c.Count }

// Clone copies a claim so that it can be changed.
func (c *Claim) Clone() *Claim {
	d := *c
	d.Done = slices.Clone(c.Done)
	d.Open = slices.Clone(c.Open)
	return &d
}

// Bytes is how large a claim's record is at the most.
func (c *Claim) Bytes() int {
	size := claimFrame + len(c.Shard)
	inside := false
	for i := 0; i <= 8*len(c.Done); i++ {
		if c.Done.has(i) != inside {
			inside = !inside
			size += digits(i) + 1
		}
	}
	for i := range c.Open {
		size += c.Open[i].Bytes()
	}
	return size
}

// Bytes is how much a placement adds to its claim's record.
func (p *Placement) Bytes() int {
	return len(`[,,""],`) + digits(p.Task) + digits(int(min(p.Try, math.MaxInt))) + len(p.Host)
}

// claimFrame bounds what a claim's record holds beside its lists and its shard.
const claimFrame = 96

func digits(i int) int { return len(strconv.Itoa(i)) }

// Team is what a limited team has reserved: CPUs and GPUs by shard.
type Team struct {
	Use map[string][2]float64 `json:"u"`
}

// Limit is a team's limit where it is allotted. A change of it voids every start
// under way. Without Base nothing starts: what is used is being counted.
type Limit struct {
	Gen     uint64                `json:"v"`           // rises with each division; gifts of an earlier one are void
	Max     [2]float64            `json:"m"`           // CPUs and cards; 0: no limit
	Base    map[string][2]float64 `json:"b,omitempty"` // by holder; together no more than Max
	Closing bool                  `json:"c,omitempty"` // it is to be counted in the team's one record again
	Off     bool                  `json:"x,omitempty"` // it is
}

// Allotment is what a holder has given to others since the division, by receiver.
// Only the holder's owner writes it, and amounts only rise, so givers do not get
// into one another's way: what a holder may use is its base, and what it was given,
// less what it gave.
type Allotment struct {
	Gen   uint64                `json:"v"`
	Given map[string][2]float64 `json:"g"`
}

// Bookings are the claims on a team's guarantee, by the chunk that claims (the key of
// its claim), and what is taken from the team for other teams' chunks.
type Bookings struct {
	Due   map[string]Booking `json:"d,omitempty"`
	Taken map[string]Taking  `json:"t,omitempty"`
}

// Booking is a job's claim on its team's guarantee.
type Booking struct {
	Shard string     `json:"h"` // whose owner makes the room
	Use   [2]float64 `json:"u"`
	Token uint64     `json:"o"` // the owner's; one of an earlier owner is void
}

// Taking is what is stopped for a job of another team.
type Taking struct {
	By    string   `json:"b"` // the other team
	Shard string   `json:"h"`
	Tasks []string `json:"n"`
}

// Hire is a rental that was recorded before it was sent, and in the end the
// record of the machines it brought: one for all of them. Machines that nobody
// expected get such a record too.
//
//easyjson:json
type Hire struct {
	protocol.Hire
	Parts []Part   `json:"p"`
	Born  int64    `json:"b"`           // Unix milliseconds
	Hosts []string `json:"m,omitempty"` // the first parts get the first machines
}

// Part is how many of a hire's machines go to a shard.
//
//easyjson:json
type Part struct {
	Shard string `json:"h"`
	Count int    `json:"n"`
}

// Share gives a shard one more of the machines.
func (h *Hire) Share(shard string) {
	for i := range h.Parts {
		if h.Parts[i].Shard == shard {
			h.Parts[i].Count++
			return
		}
	}
	h.Parts = append(h.Parts, Part{shard, 1})
}

// ShardOf is the shard of a hire's i-th machine.
func (h *Hire) ShardOf(i int) string {
	for _, p := range h.Parts {
		if i < p.Count {
			return p.Shard
		}
		i -= p.Count
	}
	return h.Parts[len(h.Parts)-1].Shard
}

// Gather asks the owners of shards to hold room for a job wider than any shard.
type Gather struct {
	Until int64 `json:"u"` // Unix milliseconds, for tidiness; the lease decides
}

// Hold is what a shard holds for such a job: tasks by host.
type Hold struct {
	Hosts map[string]int `json:"m"`
}

// Leader names the controller that hires and gathers.
type Leader struct {
	Node string `json:"o"`
	Boot int64  `json:"b,omitempty"` // which process of the node, as in its own record
}

// ClaimKey is the key of a job's chunk.
func ClaimKey(ref string, chunk int) string { return ClaimKeys + ref + "/" + strconv.Itoa(chunk) }

// SplitClaimKey undoes ClaimKey.
func SplitClaimKey(key string) (ref string, chunk int, err error) {
	ref, num, ok := strings.Cut(strings.TrimPrefix(key, ClaimKeys), "/")
	if !ok {
		return "", 0, fmt.Errorf("claim key %q", key)
	}
	chunk, err = strconv.Atoi(num)
	return ref, chunk, err
}
