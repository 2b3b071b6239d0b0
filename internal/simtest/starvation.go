package simtest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// What is so after quiescence does not show starvation: a class may wait all day and run
// at its end.

const (
	// acceptedBefore is how long ago a job must have been accepted to be done by now.
	acceptedBefore = 60 * time.Second
	// beginWithin is how long a class's largest jobs may wait for their beginning.
	beginWithin = 4 * time.Minute
)

// checkStarvation checks that at least a part of every class and team was served, of a
// class's largest jobs too, and that these have begun in time.
func (c *cluster) checkStarvation(least float64) error {
	served := c.world.Served(acceptedBefore)
	var starved []string
	for _, name := range slices.Sorted(maps.Keys(served)) {
		if s := served[name]; s.Share() < least {
			starved = append(starved, fmt.Sprintf("%s was served %.2f of %.0f", name, s.Share(), s.Possible))
		}
	}
	if len(starved) > 0 {
		return checkErrorf("starved", "%s", strings.Join(starved, ", "))
	}
	if late := c.world.LargestNotStarted(beginWithin); len(late) > 0 {
		return checkErrorf("starved", "%s, of the largest of their class, did not begin within %v", strings.Join(late, ", "), beginWithin)
	}
	return nil
}
