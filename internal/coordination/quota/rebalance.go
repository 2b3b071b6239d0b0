package quota

import (
	"cmp"
	"slices"
	"strings"
)

// Holder is a shard, or CrossShard, with its allotment of one team's limit.
type Holder struct {
	Name   string
	Grant  Resources // total amount that the holder may use
	Use    Resources // amount that the holder uses now
	Demand *Demand   // nil if the holder has no demand
}

// compare orders holders with a demand as they are served. The holder's name is the last
// criterion because copies of one job can wait at several holders: with equal rank two
// holders would each keep half of the amount that the job needs.
func (h *Holder) compare(other *Holder) int {
	return cmp.Or(h.Demand.compare(other.Demand), strings.Compare(h.Name, other.Name))
}

func (h *Holder) isStarving() bool {
	return h.Demand != nil && !h.Demand.Anticipated && h.Demand.Waited >= StarvationThreshold
}

// Transfer is an amount to be moved from one holder's allotment to another's.
type Transfer struct {
	From, To string
	Amount   Resources
}

// Rebalance returns the transfers of unused allotment between holders. Each controller
// executes the transfers from the holders that it decides for. Controllers observe the use
// at slightly different times, which only makes a transfer a little larger or smaller than
// needed.
//
// The first job of each holder is served first, in the order of compare. The amounts that
// holders without demand have left are then divided, in proportion, among holders that could
// start more tasks. A holder receives only amounts that it can use now, which prevents
// transfers back and forth.
func Rebalance(limit Resources, holders []Holder) []Transfer {
	r := &rebalancing{limit: limit, holders: holders, unused: make([]Resources, len(holders)), reserved: make([]Resources, len(holders))}
	var demanding []int
	for i := range holders {
		r.unused[i] = limitedParts(holders[i].Grant.Minus(holders[i].Use), limit)
		if holders[i].Demand != nil {
			demanding = append(demanding, i)
		}
	}
	if len(demanding) == 0 {
		return nil
	}
	slices.SortFunc(demanding, func(a, b int) int { return holders[a].compare(&holders[b]) })
	for position, i := range demanding {
		r.serveFirstJob(i, position == 0)
	}
	r.distributeUnused(demanding)
	return r.transfers
}

// rebalancing is the state of one call of Rebalance. Its methods identify holders by index.
type rebalancing struct {
	limit     Resources
	holders   []Holder
	unused    []Resources // unused part of each allotment, after the transfers so far
	reserved  []Resources // part of unused that is kept for the holder's own first job
	transfers []Transfer
}

// surplusFor returns the amount that a holder can transfer for another holder's first job. A
// holder with a demand keeps the amount that the demand could use, unless the other job has
// waited for StarvationThreshold and is earlier in the order. Such a holder transfers nothing
// for an anticipated demand.
func (r *rebalancing) surplusFor(from, to int) Resources {
	donor, receiver := &r.holders[from], &r.holders[to]
	left := r.unused[from].Minus(r.reserved[from])
	switch {
	case donor.Demand == nil:
		return left
	case receiver.Demand.Anticipated:
		return Resources{}
	case receiver.isStarving() && receiver.compare(donor) < 0:
		return left
	}
	return left.Minus(donor.Demand.Total)
}

// serveFirstJob transfers the amount that a holder's first job lacks. If less is available,
// nothing is transferred, with one exception: the first holder in order receives whatever
// amount is available once its job has waited for StarvationThreshold, since other jobs would
// otherwise use the freed amounts again and again.
func (r *rebalancing) serveFirstJob(i int, isFirst bool) {
	head := limitedParts(r.holders[i].Demand.Head, r.limit)
	r.reserved[i] = r.unused[i].Min(head)
	missing := head.Minus(r.unused[i])
	if missing.IsZero() {
		return
	}
	donors, available := r.donorsFor(i)
	if !missing.Within(available) && !(isFirst && r.holders[i].isStarving()) {
		return
	}
	for _, donor := range donors {
		r.transfer(donor, i, r.surplusFor(donor, i).Min(missing))
		if missing = head.Minus(r.unused[i]); missing.IsZero() {
			break
		}
	}
	r.reserved[i] = r.unused[i].Min(head)
}

// donorsFor returns the holders that can transfer unused allotment for a holder's first job,
// and the sum of the amounts that they can transfer. Holders without a demand come before
// holders with a demand, and larger amounts before smaller ones.
func (r *rebalancing) donorsFor(i int) (donors []int, available Resources) {
	for j := range r.holders {
		if surplus := r.surplusFor(j, i); j != i && !surplus.IsZero() {
			donors = append(donors, j)
			available = available.Plus(surplus)
		}
	}
	slices.SortStableFunc(donors, func(a, b int) int {
		surplusA, surplusB := r.surplusFor(a, i), r.surplusFor(b, i)
		return cmp.Or(compareBool(r.holders[a].Demand != nil, r.holders[b].Demand != nil),
			cmp.Compare(surplusB.CPUs+surplusB.GPUs, surplusA.CPUs+surplusA.GPUs), strings.Compare(r.holders[a].Name, r.holders[b].Name))
	})
	return donors, available
}

// transfer moves an amount between two holders. The amount is added to an earlier transfer
// between them if there is one.
func (r *rebalancing) transfer(from, to int, amount Resources) {
	if amount.IsZero() {
		return
	}
	r.unused[from] = r.unused[from].Minus(amount)
	r.unused[to] = r.unused[to].Plus(amount)
	for i := range r.transfers {
		if earlier := &r.transfers[i]; earlier.From == r.holders[from].Name && earlier.To == r.holders[to].Name {
			earlier.Amount = earlier.Amount.Plus(amount)
			return
		}
	}
	r.transfers = append(r.transfers, Transfer{From: r.holders[from].Name, To: r.holders[to].Name, Amount: amount})
}

// distributeUnused divides the unused amounts of holders without a demand among the holders
// that could start more tasks, in units that suffice to start one task, or all tasks of a
// gang.
func (r *rebalancing) distributeUnused(demanding []int) {
	usable := make([]int, len(r.holders)) // units that each holder could use beyond its unused allotment
	total := 0
	for _, i := range demanding {
		usable[i] = r.usableUnits(i)
		total += usable[i]
	}
	if total == 0 {
		return
	}
	for donor := range r.holders {
		if r.holders[donor].Demand == nil {
			r.distributeFrom(donor, demanding, usable, total)
		}
	}
}

// unitOf returns the smallest amount with which a holder's first job could start, counting
// limited resources only.
func (r *rebalancing) unitOf(i int) Resources {
	return limitedParts(r.holders[i].Demand.minUsefulTransfer(), r.limit)
}

// usableUnits returns how many units a holder could use beyond its unused allotment. The
// bound prevents overflow when the result is multiplied by another number of units.
func (r *rebalancing) usableUnits(i int) int {
	unit := r.unitOf(i)
	if unit.IsZero() {
		return 0
	}
	missing := limitedParts(r.holders[i].Demand.Total, r.limit).Minus(r.unused[i])
	return min(TasksThatFit(missing, unit, r.limit), 1<<20)
}

// distributeFrom transfers to each demanding holder its share of a donor's unused amount.
// Shares are rounded up to whole units, so that a small number of units does not stay
// unused; the last holders receive only the units that are left.
func (r *rebalancing) distributeFrom(donor int, demanding, usable []int, total int) {
	pool := r.unused[donor]
	for _, i := range demanding {
		unit := r.unitOf(i)
		if usable[i] == 0 || unit.IsZero() {
			continue
		}
		share := TasksThatFit(pool, unit, r.limit)*usable[i]/total + 1
		units := min(share, usable[i], TasksThatFit(r.unused[donor], unit, r.limit))
		r.transfer(donor, i, unit.Times(float64(units)))
		usable[i] -= units
	}
}
