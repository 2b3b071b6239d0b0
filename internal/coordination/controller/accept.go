package controller

import (
	"errors"
	"net/http"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// errRecordTooLarge rejects a submission whose record exceeds the state service's size limit.
var errRecordTooLarge = errors.New("the job's record is larger than the state service takes")

// acceptJob records a job. If this controller owns one of the shards chosen for the job and
// that shard has capacity, the same transaction claims the job, and its tasks start at once.
func (c *Controller) acceptJob(spec *protocol.Submission, reply func(transport.Response)) {
	now := time.Now()
	if backlog := c.backlog(kv.PriorityUser, now); backlog.Unavailable || backlog.ShouldShed(submitTimeout) {
		reply(c.retryLater(kv.PriorityUser, now)) // the submission is refused at once, since its transaction would time out in the queue
		return
	}
	shards := c.chooseShards(spec, now)
	record := &records.Job{Spec: spec, Shards: shards, AcceptedAtMs: now.UnixMilli(), ChunkSize: c.chunkSize(spec, shards)}
	initial := c.prepareInitialClaim(spec, shards, now)
	c.addQueued(shards, spec)
	c.recordJob(spec.JobID, record, initial, reply)
}

// addQueued adds a job's CPUs to those that this controller has queued at shards since the
// last reports of their loads.
func (c *Controller) addQueued(shards []string, spec *protocol.Submission) {
	for _, name := range shards {
		c.shardLoads.queuedSince[name] += spec.CPUs * float64(spec.Tasks)
	}
}

// recordJob commits the record of an accepted job, together with its initial claim if there
// is one, and answers the submission.
func (c *Controller) recordJob(jobID string, record *records.Job, initial initialClaim, reply func(transport.Response)) {
	until := time.Now().Add(submitTimeout)
	key := records.JobPrefix + jobID
	compares := append([]kv.Compare{{Key: key, Version: 0}}, initial.compares...)
	ops := append([]kv.Op{{Key: key, Value: record}}, initial.ops()...)
	c.commitWithRevision(kv.PriorityUser, compares, ops, submitTimeout, func(err error, revision uint64) {
		initial.finish(c, err)
		switch {
		case err == nil:
			c.log.Debug("job accepted", "job", jobID, "shards", record.Shards, "dependencies", len(record.Dependencies), "claimed", initial.claim != nil)
			c.replyAccepted(jobID, revision, until, reply)
			c.broadcastAccepted(key, record, revision)
		case errors.Is(err, kv.ErrTooLarge) && !errors.Is(err, kv.ErrOutcomeUnknown):
			reply(badRequest(errRecordTooLarge))
		case errors.Is(err, kv.ErrCompareFailed):
			c.resolveAcceptConflict(jobID, record, initial, until, reply)
		default:
			reply(c.retryLater(kv.PriorityUser, time.Now()))
		}
	})
}

// replyAccepted answers the submission of a job that the commit of a revision has recorded. A job
// that is blocked may depend on one whose cancellation this controller has not read, though a user
// was told of it. It may be called pending for the cancel deadline from then on. So if the view
// may lack changes of half that time, the answer waits until the watch has reached the commit
// (pipeline-accepted-behind.trace).
func (c *Controller) replyAccepted(jobID string, revision uint64, until time.Time, reply func(transport.Response)) {
	isBehind := time.Since(c.view.CompleteAt) > c.settings.Workers.CancelDeadline/2
	if isBehind && c.isUndecided(jobID) {
		c.replyAtRevision(jobID, http.StatusCreated, revision, until, reply)
		return
	}
	c.replyStatus(jobID, http.StatusCreated, time.Until(until), reply)
}

// resolveAcceptConflict answers a submission whose transaction failed because a record has
// changed: the job's, since another controller has accepted the job, or one that the claim is
// conditional on.
func (c *Controller) resolveAcceptConflict(jobID string, record *records.Job, initial initialClaim, until time.Time, reply func(transport.Response)) {
	switch status := c.jobStatus(jobID); {
	case status.final:
		c.replyStatus(jobID, http.StatusOK, time.Until(until), reply)
	case status.known:
		c.confirmStatus(jobID, submitTimeout/2, func() { reply(unavailable(shortRetry)) }, reply)
	case initial.claim != nil:
		c.recordUnclaimed(records.JobPrefix+jobID, record, reply)
	default:
		reply(c.retryLater(kv.PriorityUser, time.Now()))
	}
}

// recordUnclaimed commits the record of an accepted job again, without the claim that made
// the first commit fail.
func (c *Controller) recordUnclaimed(key string, record *records.Job, reply func(transport.Response)) {
	c.commit(kv.PriorityUser, []kv.Compare{{Key: key, Version: 0}}, []kv.Op{{Key: key, Value: record}}, submitTimeout/2, func(err error) {
		if err != nil {
			reply(c.retryLater(kv.PriorityUser, time.Now()))
			return
		}
		c.replyStatus(record.Spec.JobID, http.StatusCreated, submitTimeout/4, reply)
		c.broadcastJob(key)
	})
}
