package admission

// BudgetShare is a controller's part of a budget that all share. Half of it is shared
// evenly, half by what waits at each, so that one to which all users have turned
// is not held up beside others that have nothing to do. waits has an entry for every
// live controller, this one's at own; the parts add up to one if all see the same.
// What one sees may be a beat old: then the sum is a little off, and whoever is
// refused for it tries again.
func BudgetShare(waits []int, own int) float64 {
	if len(waits) == 0 {
		return 1
	}
	live, sum := float64(len(waits)), 0.0
	for _, w := range waits {
		sum += float64(w) + 1
	}
	return 0.5/live + 0.5*(float64(waits[own])+1)/sum
}
