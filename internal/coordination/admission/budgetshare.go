package admission

// evenFraction is the part of a budget that is divided evenly among all controllers.
const evenFraction = 0.5

// BudgetShare returns a controller's share, from 0 to 1, of a budget that all controllers
// use. Half of the budget is divided evenly, the other half in proportion to the pending
// changes (each controller's count plus one). The proportional half prevents a controller
// that receives all requests from being limited while other controllers are idle.
//
// pending has one entry for each live controller, the caller's at index own; without
// entries the share is 1. The shares of controllers with the same counts add up to one. A
// count may be as old as the last exchange between two controllers; the shares then add up
// to slightly more or less than one, and a change that is refused because the budget is
// exceeded is sent again.
func BudgetShare(pending []int, own int) float64 {
	if len(pending) == 0 {
		return 1
	}
	controllers, weights := float64(len(pending)), 0.0
	for _, count := range pending {
		weights += float64(count) + 1
	}
	return evenFraction/controllers + (1-evenFraction)*(float64(pending[own])+1)/weights
}
