// Package begin decides which arrays begin ahead of their turn.
//
// First come, first served makes a job behind a burst wait for as long as the burst
// takes, and nobody sees it run. An array needs no more than one task's room to begin,
// so one that has waited for long gets that much ahead of the others of its rank, and
// the rest in its turn: what it takes is work that was to be done anyway.
package begin

import "time"

// StartsAhead tells whether an array that has waited for so long begins with one task now.
// begun tells that some of it was placed before; by is how long it waits for its turn.
func StartsAhead(waited, by time.Duration, begun bool) bool { return !begun && waited >= by }
