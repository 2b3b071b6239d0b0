package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// CrossShard holds the allotment of work that is placed across shards, and what no shard
// has been given yet. The leading controller decides about it.
const CrossShard = "*"

// Demand is what a holder could start this moment if its allotment reached: there is
// room for it, and all else permits it. How much work is queued says nothing; but a
// job that waits for room asks ahead for what nobody wants, since the room would go
// to others while the allotment moves.
type Demand struct {
	Head         Resources // what its first job needs to start: one task, or all of a gang
	PerTask      Resources // one task of it
	Total        Resources // what could be started altogether
	Priority     int       // of the first job
	AcceptedAtMs int64     // when that was accepted, Unix milliseconds
	JobID        string    // the first job
	AllOrNothing bool      // it starts whole or not at all
	Anticipated  bool      // the room is not there yet: asked for in time, and served last
	Waited       time.Duration
}

// before is the order in which wants are served: rank, then first come. All
// controllers compute the same, so that of two gangs that each hold half of the
// limit one yields.
func (w *Demand) before(o *Demand) int {
	return cmp.Or(compareBool(w.Anticipated, o.Anticipated), cmp.Compare(o.Priority, w.Priority), cmp.Compare(w.AcceptedAtMs, o.AcceptedAtMs), strings.Compare(w.JobID, o.JobID))
}

// minUsefulTransfer is the smallest part that helps: a task or, if it starts whole, all of it.
func (w *Demand) minUsefulTransfer() Resources {
	if w.AllOrNothing {
		return w.Head
	}
	return w.PerTask
}

// StarvationThreshold is how long a holder's first job waits before it is served ahead of
// younger work that could start elsewhere. Until then holders use their own first:
// to move every task's allotment to the oldest job in the cluster would leave it
// unused while it moves.
const StarvationThreshold = 3 * time.Second

// Holder is a shard, or Wide, with its part of one team's limit.
type Holder struct {
	Name   string
	Grant  Resources
	Use    Resources
	Demand *Demand // nil: nothing
}

// before is the order in which holders are served. Copies of one job wait at several:
// without an order among them each kept half of what the job needed.
func (h *Holder) before(o *Holder) int {
	return cmp.Or(h.Demand.before(o.Demand), strings.Compare(h.Name, o.Name))
}

func (h *Holder) isStarving() bool {
	return h.Demand != nil && !h.Demand.Anticipated && h.Demand.Waited >= StarvationThreshold
}

// Transfer is a part of an allotment that passes from one holder to another.
type Transfer struct {
	From, To string
	Amount   Resources
}

// rebalancing is the state of one division.
type rebalancing struct {
	limit     Resources
	holders   []Holder
	unused    []Resources // unused and not promised
	reserved  []Resources // of that, kept for the holder's own first job
	transfers []Transfer
}

// Rebalance decides who gives what to whom, of what nobody uses. Each controller carries
// out the gifts of the holders that it decides for; that the others see slightly
// different uses only makes a gift a little larger or smaller than it need be.
//
// First every holder's first job is served, in order; then what holders without
// any want have left goes to those that could start more, in proportion. Nothing is
// given to a holder that could not use it now, so nothing goes to and fro.
func Rebalance(limit Resources, holders []Holder) []Transfer {
	s := &rebalancing{limit: limit, holders: holders, unused: make([]Resources, len(holders)), reserved: make([]Resources, len(holders))}
	var wanting []int
	for i := range holders {
		s.unused[i] = limitedParts(holders[i].Grant.Minus(holders[i].Use), limit)
		if holders[i].Demand != nil {
			wanting = append(wanting, i)
		}
	}
	if len(wanting) == 0 {
		return nil
	}
	slices.SortFunc(wanting, func(a, b int) int { return holders[a].before(&holders[b]) })
	for place, i := range wanting {
		s.serveFirstJob(i, place == 0)
	}
	s.distributeUnused(wanting)
	return s.transfers
}

// surplusFor is what a holder has for another's first job.
func (s *rebalancing) surplusFor(from, to int) Resources {
	left := s.unused[from].Minus(s.reserved[from])
	h := &s.holders[from]
	if s.holders[to].Demand.Anticipated && h.Demand != nil {
		return Resources{}
	}
	if h.Demand == nil || (s.holders[to].isStarving() && s.holders[to].before(h) < 0) {
		return left
	}
	return left.Minus(h.Demand.Total)
}

// serveFirstJob gathers what a holder's first job needs. Unless all of it is there
// nothing is moved, but for the first of all: it gathers what comes free, since
// others would use that up again and again.
func (s *rebalancing) serveFirstJob(i int, first bool) {
	w := s.holders[i].Demand
	head := limitedParts(w.Head, s.limit)
	s.reserved[i] = s.unused[i].Min(head)
	need := head.Minus(s.unused[i])
	if need.IsZero() {
		return
	}
	var givers []int
	sum := Resources{}
	for j := range s.holders {
		if o := s.surplusFor(j, i); j != i && !o.IsZero() {
			givers = append(givers, j)
			sum = sum.Plus(o)
		}
	}
	if !need.Within(sum) && !(first && s.holders[i].isStarving()) {
		return
	}
	slices.SortStableFunc(givers, func(a, b int) int {
		wa, wb := s.holders[a].Demand != nil, s.holders[b].Demand != nil
		oa, ob := s.surplusFor(a, i), s.surplusFor(b, i)
		return cmp.Or(compareBool(wa, wb), cmp.Compare(ob.CPUs+ob.GPUs, oa.CPUs+oa.GPUs), strings.Compare(s.holders[a].Name, s.holders[b].Name))
	})
	for _, j := range givers {
		s.transfer(j, i, s.surplusFor(j, i).Min(need))
		if need = head.Minus(s.unused[i]); need.IsZero() {
			break
		}
	}
	s.reserved[i] = s.unused[i].Min(head)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (s *rebalancing) transfer(from, to int, a Resources) {
	if a.IsZero() {
		return
	}
	s.unused[from] = s.unused[from].Minus(a)
	s.unused[to] = s.unused[to].Plus(a)
	for k := range s.transfers {
		if g := &s.transfers[k]; g.From == s.holders[from].Name && g.To == s.holders[to].Name {
			g.Amount = g.Amount.Plus(a)
			return
		}
	}
	s.transfers = append(s.transfers, Transfer{s.holders[from].Name, s.holders[to].Name, a})
}

// distributeUnused divides what holders without a want have left among those that could
// start more, task by task.
func (s *rebalancing) distributeUnused(wanting []int) {
	more := make([]int, len(s.holders)) // tasks that each could start beyond its first job
	sum := 0
	for _, i := range wanting {
		w := s.holders[i].Demand
		unit := limitedParts(w.minUsefulTransfer(), s.limit)
		if unit.IsZero() {
			continue
		}
		more[i] = min(TasksThatFit(limitedParts(w.Total, s.limit).Minus(s.unused[i]), unit, s.limit), 1<<20)
		sum += more[i]
	}
	if sum == 0 {
		return
	}
	for j := range s.holders {
		if s.holders[j].Demand != nil {
			continue
		}
		pool := s.unused[j]
		for _, i := range wanting {
			unit := limitedParts(s.holders[i].Demand.minUsefulTransfer(), s.limit)
			if more[i] == 0 || unit.IsZero() {
				continue
			}
			// Its part of the pool, in whole tasks, rounded up: the last one then gets
			// what is left, and a pool of a few tasks is not left lying.
			part := TasksThatFit(pool, unit, s.limit)*more[i]/sum + 1
			k := min(part, more[i], TasksThatFit(s.unused[j], unit, s.limit))
			s.transfer(j, i, unit.Times(float64(k)))
			more[i] -= k
		}
	}
}
