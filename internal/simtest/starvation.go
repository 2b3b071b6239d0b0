package simtest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// The checks after quiescence do not detect starvation, because the jobs of a class may wait
// for the whole script and still run at its end.

const (
	// minJobAge is the time after a job's acceptance from which the job counts as one that
	// should be done.
	minJobAge = 60 * time.Second
	// maxStartDelay is how long a class's largest jobs may wait until they start.
	maxStartDelay = 4 * time.Minute
)

// checkStarvation checks that at least the given share of the work of every class, every
// team and each class's largest jobs was served, and that the largest jobs started in time.
func (c *cluster) checkStarvation(minShare float64) error {
	served := c.world.Served(minJobAge)
	var starved []string
	for _, name := range slices.Sorted(maps.Keys(served)) {
		if s := served[name]; s.Share() < minShare {
			starved = append(starved, fmt.Sprintf("%s was served %.2f of %.0f", name, s.Share(), s.Possible))
		}
	}
	if len(starved) > 0 {
		return checkErrorf("starved", "%s", strings.Join(starved, ", "))
	}
	if notStarted := c.world.LargestNotStarted(maxStartDelay); len(notStarted) > 0 {
		return checkErrorf("starved", "%s, of the largest of their class, did not start within %v", strings.Join(notStarted, ", "), maxStartDelay)
	}
	return nil
}
