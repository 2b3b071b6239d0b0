package quota

import "math"

// Resources is what a team uses or may use: CPUs and cards, booked together.
type Resources [2]float64

// eps is what many small amounts may leave by rounding.
const eps = 1e-6

// ForTasks is the amount of so many tasks.
func ForTasks(cpus, cards float64, tasks int) Resources {
	return Resources{cpus * float64(tasks), cards * float64(tasks)}
}

// Plus adds.
func (a Resources) Plus(b Resources) Resources { return Resources{a[0] + b[0], a[1] + b[1]} }

// Minus subtracts, down to nothing.
func (a Resources) Minus(b Resources) Resources {
	return Resources{clampNegligible(a[0] - b[0]), clampNegligible(a[1] - b[1])}
}

// clampNegligible is what is left of a difference, without what rounding leaves.
func clampNegligible(x float64) float64 {
	if x < eps {
		return 0
	}
	return x
}

// Min is the lesser of both, part by part.
func (a Resources) Min(b Resources) Resources {
	return Resources{math.Min(a[0], b[0]), math.Min(a[1], b[1])}
}

// Max is the greater of both, part by part.
func (a Resources) Max(b Resources) Resources {
	return Resources{math.Max(a[0], b[0]), math.Max(a[1], b[1])}
}

// Times multiplies.
func (a Resources) Times(k float64) Resources { return Resources{a[0] * k, a[1] * k} }

// IsZero tells that it is nothing.
func (a Resources) IsZero() bool { return a[0] < eps && a[1] < eps }

// Within tells that it is no more than b in any part.
func (a Resources) Within(b Resources) bool { return a[0] <= b[0]+eps && a[1] <= b[1]+eps }

// masked leaves the parts that a limit has.
func (a Resources) masked(limit Resources) Resources {
	for k := range a {
		if limit[k] == 0 {
			a[k] = 0
		}
	}
	return a
}

// count is how many units fit into it, in the parts that a limit has.
func (a Resources) count(unit, limit Resources) int {
	most := math.MaxInt32
	for k := range a {
		if limit[k] > 0 && unit[k] > 0 {
			most = min(most, int((a[k]+eps)/unit[k]))
		}
	}
	return max(0, most)
}
