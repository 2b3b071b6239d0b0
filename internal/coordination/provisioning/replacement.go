package provisioning

// bootingPerReplacement is how many booting machines allow one more overdue machine to be
// replaced at once.
const bootingPerReplacement = 4

// ReplacementCount returns how many of the overdue machines stop counting as supply at once,
// out of all that are booting, overdue ones included. Each may cause another machine to be
// provisioned; the bound prevents a zone that boots slowly as a whole from having its fleet
// provisioned twice.
func ReplacementCount(overdue, booting int) int {
	return min(overdue, 1+booting/bootingPerReplacement)
}
