package provisioning

// bootingPerReplacement is how many booting machines allow one more overdue machine to be
// replaced at once.
const bootingPerReplacement = 4

// ReplacementCount returns how many of the overdue machines stop counting as supply at once.
// booting is the number of all booting machines, overdue ones included. Each machine that no
// longer counts may cause another one to be provisioned; the bound prevents the fleet of a
// zone in which all boots are slow from being provisioned twice.
func ReplacementCount(overdue, booting int) int {
	return min(overdue, 1+booting/bootingPerReplacement)
}
