package controller

import (
	"strings"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// newKeyUpdate returns a record in the form in which controllers exchange it, and reports
// whether the record could be encoded.
func newKeyUpdate(key string, record any, version uint64) (protocol.KeyUpdate, bool) {
	raw, err := protocol.Encode(record)
	return protocol.KeyUpdate{Key: key, Value: raw, Version: version}, err == nil
}

// broadcastJob sends a cached job's record to the other controllers. If the job has exactly
// one claim, the message includes the claim's record, so that the other controllers do not
// try to claim the job as well.
func (c *Controller) broadcastJob(key string) {
	jobID := strings.TrimPrefix(key, records.JobPrefix)
	job := c.view.Jobs[jobID]
	if job == nil {
		return
	}
	update, ok := newKeyUpdate(key, job.Record, job.Version)
	if !ok {
		return
	}
	message := c.newPeerMessage(update)
	for _, claim := range job.Claims {
		if claim.Record == nil || len(job.Claims) != 1 {
			continue
		}
		if update, ok := newKeyUpdate(claim.Key, claim.Record, claim.Version); ok {
			message.Updates = append(message.Updates, update)
		}
	}
	c.broadcast(c.ctx, message)
}

// broadcastAccepted sends the record of a job that was just accepted by the commit of a revision.
// The record of a blocked job is sent as given, since the view's Jobs do not contain blocked jobs.
func (c *Controller) broadcastAccepted(key string, record *records.Job, revision uint64) {
	if record.State == records.JobBlocked {
		c.broadcastRecord(key, record, revision)
		return
	}
	c.broadcastJob(key)
}

// broadcastRecord sends a record that was just committed, with the revision of its commit. The
// view may already hold a newer version: the answer to a commit can arrive after the watch has
// delivered later changes of the key. A receiver would take the record for that version and ignore
// the true one (pipeline-late-answers.trace).
func (c *Controller) broadcastRecord(key string, record any, revision uint64) {
	if update, ok := newKeyUpdate(key, record, revision); ok {
		c.broadcast(c.ctx, c.newPeerMessage(update))
	}
}

// broadcastFinal sends the record of a finished job, since users may query any controller.
func (c *Controller) broadcastFinal(jobID string) {
	final, ok := c.view.FinalJobs[jobID]
	if !ok {
		c.broadcastJob(records.JobPrefix + jobID)
		return
	}
	record := &records.Job{State: final.State, Tasks: final.Tasks}
	if update, ok := newKeyUpdate(records.JobPrefix+jobID, record, final.Version); ok {
		c.broadcast(c.ctx, c.newPeerMessage(update))
	}
}

// applyUpdates applies records received from another controller. The view ignores those that
// are older than its own.
func (c *Controller) applyUpdates(updates []protocol.KeyUpdate) {
	for _, update := range updates {
		if len(update.Value) > 0 && isBroadcastKey(update.Key) {
			c.view.ApplyItem(kv.Item{Key: update.Key, Value: update.Value, Version: update.Version})
		}
	}
}

// isBroadcastKey reports whether controllers send each other the records of a key ahead of the
// watch, as they do for jobs, claims and allotments.
func isBroadcastKey(key string) bool {
	return strings.HasPrefix(key, records.JobPrefix) || strings.HasPrefix(key, records.ClaimPrefix) ||
		strings.HasPrefix(key, records.AllotmentPrefix)
}
