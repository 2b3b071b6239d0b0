package placement

import "time"

// StartsAhead tells whether an array that has waited for so long begins with one task now.
// begun tells that some of it was placed before; by is how long it waits for its turn.
func StartsAhead(waited, by time.Duration, begun bool) bool { return !begun && waited >= by }
