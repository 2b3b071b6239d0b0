// Package quota decides who may use how much of what, now, and who must give way.
//
// A team's limit is divided into allotments, one for each shard and one for work
// that is placed across shards. The owner of a shard starts work of a team as far
// as its allotment reaches and asks nobody. Guarantees are booked before anything is
// stopped for them. The decisions are functions of what the records and the other
// controllers say; Keeper holds both and makes the conditions and changes of
// transactions. It has no clock, no network and no lock: its caller has.
package quota

import "math"

// Amount is what a team uses or may use: CPUs and cards, booked together.
type Amount [2]float64

// eps is what many small amounts may leave by rounding.
const eps = 1e-6

// Of is the amount of so many tasks.
func Of(cpus, cards float64, tasks int) Amount {
	return Amount{cpus * float64(tasks), cards * float64(tasks)}
}

// Plus adds.
func (a Amount) Plus(b Amount) Amount { return Amount{a[0] + b[0], a[1] + b[1]} }

// Less subtracts, down to nothing.
func (a Amount) Less(b Amount) Amount {
	return Amount{rest(a[0] - b[0]), rest(a[1] - b[1])}
}

// rest is what is left of a difference, without what rounding leaves.
func rest(x float64) float64 {
	if x < eps {
		return 0
	}
	return x
}

// Least is the lesser of both, part by part.
func (a Amount) Least(b Amount) Amount { return Amount{math.Min(a[0], b[0]), math.Min(a[1], b[1])} }

// Most is the greater of both, part by part.
func (a Amount) Most(b Amount) Amount { return Amount{math.Max(a[0], b[0]), math.Max(a[1], b[1])} }

// Times multiplies.
func (a Amount) Times(k float64) Amount { return Amount{a[0] * k, a[1] * k} }

// Zero tells that it is nothing.
func (a Amount) Zero() bool { return a[0] < eps && a[1] < eps }

// Within tells that it is no more than b in any part.
func (a Amount) Within(b Amount) bool { return a[0] <= b[0]+eps && a[1] <= b[1]+eps }

// masked leaves the parts that a limit has.
func (a Amount) masked(limit Amount) Amount {
	for k := range a {
		if limit[k] == 0 {
			a[k] = 0
		}
	}
	return a
}

// count is how many units fit into it, in the parts that a limit has.
func (a Amount) count(unit, limit Amount) int {
	most := math.MaxInt32
	for k := range a {
		if limit[k] > 0 && unit[k] > 0 {
			most = min(most, int((a[k]+eps)/unit[k]))
		}
	}
	return max(0, most)
}
