package controller

import (
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

const (
	// maxRepeatedCancellations bounds the cancellations that are repeated in one message.
	maxRepeatedCancellations = 100
	// notifiedTTL is how long a controller counts as notified of a cancellation after it has
	// confirmed the cancellation. The time is bounded because the controller may restart
	// after the confirmation and lose its cache.
	notifiedTTL = 10 * time.Second
)

// repeatedCancellations returns the cancellations to send again. The watch delivers a
// cancellation to every controller that the state service serves. It does not reach an owner
// that the state service refuses, or one that was partitioned when the job was cancelled and
// whose zone has rejoined during an outage of the state service. Repeating the cancellation
// keeps such an owner from running the job's tasks beyond the deadline although other
// controllers have received the cancellation. The cancellations are sent in rotation, so that
// each one is repeated even if more are due than fit into one message
// (TestAllCancellationsAreRepeated).
func (c *Controller) repeatedCancellations(now time.Time) (updates []protocol.KeyUpdate) {
	var jobIDs []string
	isDown := c.isStateDown(now)
	for jobID, job := range c.view.CancelledJobs {
		if isDown || c.ownerMayMissCancellation(job, now) {
			jobIDs = append(jobIDs, jobID)
		}
	}
	slices.Sort(jobIDs)
	at, _ := slices.BinarySearch(jobIDs, c.nextRepeated)
	for _, jobID := range slices.Concat(jobIDs[at:], jobIDs[:at]) {
		if len(updates) == maxRepeatedCancellations {
			c.nextRepeated = jobID
			break
		}
		job := c.view.CancelledJobs[jobID]
		if update, ok := newKeyUpdate(records.JobPrefix+jobID, job.Record, job.Version); ok {
			updates = append(updates, update)
		}
	}
	return updates
}

// ownerMayMissCancellation reports whether a machine that may run tasks of a cancelled job is
// owned by another controller that has not reported recently that it reaches the state
// service. The watch may not deliver the cancellation to such an owner.
func (c *Controller) ownerMayMissCancellation(job *replica.Job, now time.Time) bool {
	for _, claim := range job.Claims {
		for _, slot := range claim.Slots {
			if slot.Host.Machine == nil {
				continue
			}
			shard := c.view.Shards[slot.Host.Machine.Record.Shard]
			if shard == nil || shard.Record == nil || shard.Record.Owner == c.settings.NodeName {
				continue
			}
			if !c.stateReports.isServed(shard.Record.Owner, now) {
				return true
			}
		}
	}
	return false
}

// recordNotified records which cancellations another controller has confirmed. It takes the
// lock itself.
func (c *Controller) recordNotified(peer string, updates []protocol.KeyUpdate) {
	if len(updates) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, update := range updates {
		if job := c.view.CancelledJobs[strings.TrimPrefix(update.Key, records.JobPrefix)]; job != nil {
			if job.NotifiedAt == nil {
				job.NotifiedAt = make(map[string]time.Time)
			}
			job.NotifiedAt[peer] = time.Now()
		}
	}
}
