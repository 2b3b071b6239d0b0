package records

//go:generate go tool easyjson -output_filename records_easyjson.go records.go

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
	NodePrefix            = "n/" // n/<node>: a live controller, attached to its lease
	ShardPrefix           = "s/" // s/<shard>: the shard's owner; its revision is the token
	MachinePrefix         = "m/" // m/<host>: a rented machine and the shard it is in for life
	JobPrefix             = "j/" // j/<ref>: an accepted job and, in the end, its final state
	ClaimPrefix           = "c/" // c/<ref>/<chunk>: a claimed chunk, its placements and completions
	TeamUsagePrefix       = "t/" // t/<team>: what a limited team has reserved, by shard, where its limit is not allotted
	TeamLimitPrefix       = "l/" // l/<team>: a team's limit and how it was first divided
	AllotmentPrefix       = "a/" // a/<team>/<holder>: what a holder has given away of its part
	ReservationPrefix     = "k/" // k/<team>: what is booked on its guarantee, and what is taken from it for others
	ProvisionPrefix       = "h/" // h/<name>: a rental that may have been sent
	ImagePrefix           = "i/" // i/<shard>/<part>: the images that a part of its machines hold
	GangReservationPrefix = "g/" // g/<ref>: the leader gathers room for a job, attached to its lease
	GangHoldPrefix        = "o/" // o/<ref>/<shard>: room that a shard holds for it, attached to the owner's lease
	LeaderKey             = "lead"
)

// Shard is the ownership of one shard of machines. The revision of its latest
// change is the token that workers obey, so tokens only rise.
type Shard struct {
	Owner       string `json:"o"`
	Changes     int    `json:"e"`           // counts changes, so that every change is one
	AwayUntilMs int64  `json:"w,omitempty"` // Unix milliseconds until which it is not handed back: its home gave it away
}

// Node marks a live controller. Version, Teams and Pipelines tell the others what
// it understands and which limits it was given, for a restart one by one.
type Node struct {
	StartedAtMs       int64  `json:"b"`
	QuotaVersion      int    `json:"v,omitempty"` // 1: allots limits
	TeamsHash         uint64 `json:"q,omitempty"` // hash of its teams' limits
	DependencyVersion int    `json:"p,omitempty"` // 1: understands jobs that wait for others
}

// Machine is a rented machine.
//
//easyjson:json
type Machine struct {
	Shard      string `json:"h"`
	Type       string `json:"t"`
	Zone       string `json:"z"`
	Spot       bool   `json:"s,omitempty"`
	State      string `json:"x,omitempty"` // "", Returning or Gone
	RentedAtMs int64  `json:"b,omitempty"` // Unix milliseconds of the rental, for boot patience only
}

// CachedImage is an image in a machine's cache.
type CachedImage struct {
	Name   string
	SizeGB float64
}

// ImageLocations is which images a part of a shard's machines hold, so that the next
// owner knows: indexes into Names by host, least recently used first.
type ImageLocations struct {
	Names   []string         `json:"n"`
	SizesGB []float64        `json:"g"`
	Hosts   map[string][]int `json:"m"`
}

// States of a machine. Both are final: such a machine is given nothing more.
const (
	MachineReturning = "r"
	MachineGone      = "g"
)

// Job is an accepted job. Its description goes once the state is final.
//
//easyjson:json
type Job struct {
	Spec          *protocol.Submission `json:"d,omitempty"`
	Shards        []string             `json:"q,omitempty"` // the K shards it queues at
	AcceptedAtMs  int64                `json:"b,omitempty"` // Unix milliseconds of acceptance, for order and advice only
	State         string               `json:"x,omitempty"` // "", protocol.JobDone or protocol.JobCancelled
	Tasks         int                  `json:"n,omitempty"` // of a final job
	ChunkSize     int                  `json:"k,omitempty"` // tasks in a chunk
	CancelledAtMs int64                `json:"e,omitempty"` // Unix milliseconds of its cancellation, from which the bound on its tasks counts
	// Needs are the jobs that a held job waits for: those of its user's list that were
	// not done when it was accepted.
	Dependencies JobIDs `json:"w,omitempty"`
	// Released is when a job that had waited for others was let into the queues, in
	// Unix milliseconds.
	ReleasedAtMs int64 `json:"r,omitempty"`
}

// JobBlocked is the state of a job that waits for others. It is in no queue and has no
// claim. Versions that do not know it take it for a final state: they start nothing
// of the job and answer its users "pending", which it is.
const JobBlocked = protocol.JobPending

// IsFinal tells whether nothing can change any more.
func (j *Job) IsFinal() bool { return j.State == protocol.JobDone || j.State == protocol.JobCancelled }

// Placement is a task that is, or may be, on a machine.
type Placement struct {
	Task    int
	Attempt uint64
	Host    string
}

// MarshalEasyJSON keeps placements short: many must fit one value.
func (p Placement) MarshalEasyJSON(w *jwriter.Writer) {
	w.RawByte('[')
	w.Int(p.Task)
	w.RawByte(',')
	w.Uint64(p.Attempt)
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
	p.Attempt = l.Uint64()
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
	Shard       string      `json:"h"` // empty: on machines of several shards, each owner minds its own
	FirstTask   int         `json:"f,omitempty"`
	TaskCount   int         `json:"n"`
	Completed   Bitmap      `json:"d,omitempty"`
	Placements  []Placement `json:"o,omitempty"`
	LastAttempt uint64      `json:"a,omitempty"` // the highest attempt given out
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

// IsCompleted tells whether a task of the chunk is done.
func (c *Claim) IsCompleted(task int) bool {
	return c.Completed.has(task - c.FirstTask)
}

// MarkCompleted marks a task of the chunk done.
func (c *Claim) MarkCompleted(task int) {
	c.Completed.set(task - c.FirstTask)
}

// CompletedCount counts the tasks that are done.
func (c *Claim) CompletedCount() int {
	n := 0
	for _, b := range c.Completed {
		n += bits.OnesCount8(b)
	}
	return n
}

// IsComplete tells whether every task is done.
func (c *Claim) IsComplete() bool { return c.CompletedCount() == c.TaskCount }

// Clone copies a claim so that it can be changed.
func (c *Claim) Clone() *Claim {
	d := *c
	d.Completed = slices.Clone(c.Completed)
	d.Placements = slices.Clone(c.Placements)
	return &d
}

// MaxEncodedSize is how large a claim's record is at the most.
func (c *Claim) MaxEncodedSize() int {
	size := claimOverhead + len(c.Shard)
	inside := false
	for i := 0; i <= 8*len(c.Completed); i++ {
		if c.Completed.has(i) != inside {
			inside = !inside
			size += digits(i) + 1
		}
	}
	for i := range c.Placements {
		size += c.Placements[i].MaxEncodedSize()
	}
	return size
}

// MaxEncodedSize is how much a placement adds to its claim's record.
func (p *Placement) MaxEncodedSize() int {
	return len(`[,,""],`) + digits(p.Task) + digits(int(min(p.Attempt, math.MaxInt))) + len(p.Host)
}

// claimOverhead bounds what a claim's record holds beside its lists and its shard.
const claimOverhead = 96

func digits(i int) int { return len(strconv.Itoa(i)) }

// TeamUsage is what a limited team has reserved: CPUs and GPUs by shard.
type TeamUsage struct {
	ByShard map[string]protocol.Resources `json:"u"`
}

// TeamLimit is a team's limit where it is allotted. A change of it voids every start
// under way. Without Base nothing starts: what is used is being counted.
type TeamLimit struct {
	Generation uint64                        `json:"v"`           // rises with each division; gifts of an earlier one are void
	Max        protocol.Resources            `json:"m"`           // a part of 0: no limit
	Base       map[string]protocol.Resources `json:"b,omitempty"` // by holder; together no more than Max
	Closing    bool                          `json:"c,omitempty"` // it is to be counted in the team's one record again
	Closed     bool                          `json:"x,omitempty"` // it is
}

// Allotment is what a holder has given to others since the division, by receiver.
// Only the holder's owner writes it, and amounts only rise, so givers do not get
// into one another's way: what a holder may use is its base, and what it was given,
// less what it gave.
type Allotment struct {
	Generation  uint64                        `json:"v"`
	Transferred map[string]protocol.Resources `json:"g"`
}

// Reservations are the claims on a team's guarantee, by the chunk that claims (the key of
// its claim), and what is taken from the team for other teams' chunks.
type Reservations struct {
	ByClaim   map[string]Reservation `json:"d,omitempty"`
	Preempted map[string]Preemption  `json:"t,omitempty"`
}

// Reservation is a job's claim on its team's guarantee.
type Reservation struct {
	Shard        string             `json:"h"` // whose owner makes the room
	Use          protocol.Resources `json:"u"`
	FencingToken uint64             `json:"o"` // the owner's; one of an earlier owner is void
}

// Preemption is what is stopped for a job of another team.
type Preemption struct {
	BeneficiaryTeam string   `json:"b"` // the other team
	Shard           string   `json:"h"`
	Tasks           []string `json:"n"`
}

// Provision is a rental that was recorded before it was sent, and in the end the
// record of the machines it brought: one for all of them. Machines that nobody
// expected get such a record too.
//
//easyjson:json
type Provision struct {
	protocol.ProvisionRequest
	Allocations   []Allocation `json:"p"`
	RequestedAtMs int64        `json:"b"`           // Unix milliseconds
	Hosts         []string     `json:"m,omitempty"` // the first parts get the first machines
}

// Allocation is how many of a hire's machines go to a shard.
//
//easyjson:json
type Allocation struct {
	Shard string `json:"h"`
	Count int    `json:"n"`
}

// Allocate gives a shard one more of the machines.
func (h *Provision) Allocate(shard string) {
	for i := range h.Allocations {
		if h.Allocations[i].Shard == shard {
			h.Allocations[i].Count++
			return
		}
	}
	h.Allocations = append(h.Allocations, Allocation{shard, 1})
}

// ShardOf is the shard of a hire's i-th machine.
func (h *Provision) ShardOf(i int) string {
	for _, p := range h.Allocations {
		if i < p.Count {
			return p.Shard
		}
		i -= p.Count
	}
	return h.Allocations[len(h.Allocations)-1].Shard
}

// GangReservation asks the owners of shards to hold room for a job wider than any shard.
type GangReservation struct {
	ExpiresAtMs int64 `json:"u"` // Unix milliseconds, for tidiness; the lease decides
}

// GangHold is what a shard holds for such a job: tasks by host.
type GangHold struct {
	TasksByHost map[string]int `json:"m"`
}

// Leader names the controller that hires and gathers.
type Leader struct {
	Node        string `json:"o"`
	StartedAtMs int64  `json:"b,omitempty"` // which process of the node, as in its own record
}

// ClaimKey is the key of a job's chunk.
func ClaimKey(ref string, chunk int) string { return ClaimPrefix + ref + "/" + strconv.Itoa(chunk) }

// ParseClaimKey undoes ClaimKey.
func ParseClaimKey(key string) (ref string, chunk int, err error) {
	ref, num, ok := strings.Cut(strings.TrimPrefix(key, ClaimPrefix), "/")
	if !ok {
		return "", 0, fmt.Errorf("claim key %q", key)
	}
	chunk, err = strconv.Atoi(num)
	return ref, chunk, err
}
