package placement

import "time"

// StartsAhead reports whether an array starts one task now, ahead of its turn in the queue:
// none of its tasks was placed before, and it has waited for at least maxWait. This prevents
// a burst of other arrays from delaying the first task of an array without bound.
func StartsAhead(waited, maxWait time.Duration, started bool) bool {
	return !started && waited >= maxWait
}
