package simtest

import (
	"flag"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"madderslip/internal/testreport"
)

var guards = flag.Int("guards", 0, "take each guard out once and look for it with so many scripts (minutes of processor time)")

// guard is a piece of the sources (with) that enforces a rule, and the text (out) that
// replaces it when the guard is removed.
type guard struct {
	name      string
	file      string
	with, out string
}

// removableGuards are the guards that docs/DESIGN.md names.
var removableGuards = []guard{
	{"a claim's creation is conditional on its absence", "coordination/controller/claims.go", `return append(change.compares, claimCompares(shard, claim)...), change.ops, true`, `return append(change.compares, claimCompares(shard, claim)[0]), change.ops, true`},
	{"a claim's update is conditional on its version", "coordination/controller/claims.go", `	change.compares = append(change.compares, claimCompares(shard, claim)...)
	if job := c.view.Jobs`, `	change.compares = append(change.compares, kv.Compare{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken})
	if job := c.view.Jobs`},
	{"a claim's update is conditional on the shard's fencing token", "coordination/controller/claims.go", `	change.compares = append(change.compares, claimCompares(shard, claim)...)
	if job`, `	change.compares = append(change.compares, kv.Compare{Key: claim.Key, Version: claim.Version})
	if job`},
	{"a placement is conditional on the job's version", "coordination/controller/claims.go", `change.compares = append(change.compares, kv.Compare{Key: records.JobPrefix + claim.JobID, Version: job.Version})`, `_ = job`},
	{"start commands are sent only after the claim's commit", "coordination/controller/claims.go", `	c.commit(claimPriority(entry.Spec), compares, ops, 0, func(err error) { c.finishClaim(shard, claim, err) })`, `	for _, placed := range next.Placements {
		if machine := c.view.Machines[placed.Host]; machine != nil {
			c.queueCommands(shard, machine, protocol.StartCommand(protocol.TaskName(claim.JobID, placed.Task), placed.Attempt))
		}
	}
	c.sendPendingCommands(shard)
	c.commit(claimPriority(entry.Spec), compares, ops, 0, func(err error) { c.finishClaim(shard, claim, err) })`},
	{"a restarted controller acquires its shard under a new token", "coordination/controller/shards.go", `case !c.view.Loaded:`, `case false:`},
	{"an owner acts only once its view has caught up", "coordination/replica/shard.go", `shard.FencingToken != 0 && v.Revision >= shard.FencingToken`, `shard.FencingToken != 0`},
	{"a machine's silence does not end its placements", "coordination/controller/reconcile.go", `	if machine.Agent.Heartbeat == nil {
		return outcomeRunning
	}
	grace`, `	if machine.Agent.Heartbeat == nil {
		return outcomeRunning
	}
	if c.silenceOf(machine, now) > c.policy.FenceAfter {
		return outcomeGone
	}
	grace`},
	{"a heartbeat counts only under the current fencing token", "coordination/replica/machine.go", `return m.Agent.Heartbeat != nil && shard.FencingToken != 0 && m.Agent.Heartbeat.FencingToken >= shard.FencingToken`, `return m.Agent.Heartbeat != nil && shard.FencingToken != 0`},
	{"a start of unknown outcome counts as unconfirmed", "coordination/replica/commandqueue.go", `slices.ContainsFunc(m.Commands.Unknown, func(start UnknownStart) bool { return start.Task == task && start.Attempt == attempt })`, `false`},
	{"starts are sent only in answers to heartbeats", "coordination/controller/reconcile.go", `	c.requestStart(task, now)
`, `	c.queueCommands(shard, machine, protocol.StartCommand(name, placement.Attempt))
`},
	{"the answer to a late heartbeat carries no starts", "coordination/controller/agents.go", `	if isNext && c.view.IsActive(shard) {`, `	if _ = isNext; c.view.IsActive(shard) {`},
	{"a reply to a direct call does not confirm a start", "coordination/controller/agents.go", `	machine.Commands.ForgetRefused(heartbeat)
`, `	machine.Commands.ForgetRefused(heartbeat)
	machine.Commands.ForgetAnswered(heartbeat)
`},
	{"no task starts while a change of its claim is being committed", "coordination/controller/starts.go", `claim.Record != nil && claim.Pending == nil && c.view`, `claim.Record != nil && c.view`},
	{"a machine's token stays at or below the revision of the view", "coordination/replica/machinetoken.go", `	if v.OwnedRevision(shard) <= above {`, `	if false {`},
	{"a machine that keeps a cancelled task is fenced", "coordination/controller/probes.go", `		c.enforceCancellations(now)
`, ``},
	{"a new owner fences a machine that does not answer it", "coordination/health/cancelled_tasks.go", `t.TokenShown || t.Unanswered || `, `t.TokenShown || `},
	{"an unanswered probe counts while the zone is in contact", "coordination/controller/cancellations.go", `	return c.isZoneInContact(shard, machine, began)`, `	return c.isZoneInContact(shard, machine, began) || true`},
	{"an overdue cancelled task's machine is returned without a record", "coordination/controller/cancellations.go", `return cancelled.ShouldReturnUnrecorded(limit, c.isStateDown(now)) && machine.Record.State == records.MachineInUse && !c.isRefusedAlone(now)`, `return false`},
	{"messages report observed access to the state service", "coordination/controller/peers.go", `StateReachable:  time.Since(servedAt) < stateReachableTTL,`, `StateReachable:  true,`},
	{"other messages of older versions do not report access", "coordination/controller/stateaccess.go", `case message.Periodic && message.StateReachable:`, `case message.StateReachable:`},
	{"reports of access count from their observation", "coordination/controller/stateaccess.go", `		return servedAt
	case`, `		return now
	case`},
	{"a controller is refused alone only if others are served later", "coordination/controller/stateaccess.go", `if isLater && r.isServed(node, now) {`, `if _ = isLater; r.isServed(node, now) {`},
	{"a watch counts as executed when it was sent", "storage/kv/watch.go", `w.connection.recordExecuted(status, sentAt)`, `w.connection.recordExecuted(status, time.Now().Add(0*time.Since(sentAt)))`},
	{"a call counts as executed within its timeout", "storage/kv/connection.go", `	c.recordExecuted(status, answeredBy)`, `	c.recordExecuted(status, time.Now())`},
	{"a committed record is sent with its revision", "coordination/controller/keyupdates.go", `newKeyUpdate(key, record, revision)`, `newKeyUpdate(key, record, max(revision, c.view.Versions[key]))`},
	{"a refused page does not end a list", "storage/kv/list.go", `c.readPage(ctx, from, !first)`, `c.readPage(ctx, from, false)`},
	{"controllers other than the owner stop cancelled tasks", "coordination/controller/probes.go", `c.stopCancelledTasks(machine, heartbeat)`, `_ = machine`},
	{"machines with misplaced cancelled tasks are probed repeatedly", "coordination/health/foreigncancelledtasks.go", `t.SinceProbe >= interval`, `t.SinceProbe > 1000*interval`},
	{"probing continues after a misplaced cancelled task has ended", "coordination/health/foreigncancelledtasks.go", `if t.Finding == Ended || t.Age > limit {`, `if t.Finding == Ended {
		return false
	}
	if t.Age > limit {`},
	{"a controller without any contact starts no tasks", "coordination/controller/starts.go", ` != records.MachineInUse || c.hasNoContact(now) {`, ` != records.MachineInUse {`},
	{"cancellations are repeated in rotation", "coordination/controller/cancellationnotices.go", `c.nextRepeated = jobID`, `c.nextRepeated = ""`},
	{"the cancel deadline counts from the recorded time", "coordination/replica/job.go", `record.CancelledAtMs != 0 && at.Before(j.FinalAt)`, `false && at.Before(j.FinalAt)`},
	{"a claim change is conditional on the team's usage record", "coordination/controller/limits.go", `return append(compares, kv.Compare{Key: key, Version: usage.Version}), []kv.Op`, `return compares, []kv.Op`},
	{"a claim change is conditional on the team's limit record", "coordination/controller/limits.go", `	compares = append(compares, c.view.Quota.LimitCompares(team)...)`, ``},
	{"a placement is conditional on the team's reservations record", "coordination/controller/limits.go", `hasRecord && grows {`, `hasRecord && grows && false {`},
	{"a placement stays within the shard's allotment", "coordination/controller/limits.go", `!grows || (c.view.IsUseKnown(holder) && more <= c.view.Quota.Allowance(team, holder, replica.TaskResources(claim.Spec)))`, `true || more < 0 || holder == ""`},
	{"use is unknown while a claim's job is unread", "coordination/replica/teams.go", `			if claim.Record == nil || claim.Record.Shard == holder || (claim.Record.Shard == "" && holder == quota.CrossShard) {`, `			if false && claim.Record == nil && holder == "" {`},
	{"a claim being committed is charged for its larger version", "coordination/replica/claim.go", `return max(c.PlacedCount(), len(c.Pending.Placements))`, `return c.PlacedCount()`},
	{"a claim commit of unknown outcome is read back", "coordination/controller/commit.go", `for err != nil && mustRead && processCtx`, `for err != nil && false && mustRead && processCtx`},
	{"a transfer is conditional on ownership of its source", "coordination/quota/transfers.go", `[]kv.Compare{ownerCompare, {Key`, `[]kv.Compare{{Key`},
	{"transfers being committed count as transferred", "coordination/quota/allotments.go", `left := team.grants()[holder].Minus(team.transferring[holder]).Minus(`, `left := team.grants()[holder].Minus(`},
	{"a limit is divided only once the view is complete", "coordination/quota/limits.go", `divideLimit(t *teamState, s ClusterState) (change LimitChange, due bool) {
	if !s.isCompleteUpTo(t.limitVersion) {`, `divideLimit(t *teamState, s ClusterState) (change LimitChange, due bool) {
	if false {`},
	{"versions without allotments read the whole limit as used", "coordination/quota/limits.go", `ByShard: map[string]Resources{legacyBarrier: t.configured}`, `ByShard: map[string]Resources{}`},
	{"a lower configured limit applies at once", "coordination/quota/allotments.go", `	if team.isConfiguredLower() {
		return Resources{}`, `	if false {
		return Resources{}`},
	{"a reservation is executed only once the view reaches it", "coordination/controller/guarantees.go", `reservation.version == 0 || c.view.Revision < reservation.version {`, `reservation.version == 0 {`},
	{"a reservation beyond the team's entitlement is not executed", "coordination/controller/guarantees.go", `if entitled < reservation.tasks ||`, `if (entitled < 0) ||`},
	{"a reservation is conditional on the records' cached versions", "coordination/quota/reservations.go", `		compares = append(compares, kv.Compare{Key: key, Version: m.team(name).reservationsVersion})
`, ``},
	{"preemption takes only the surplus over a team's guarantee", "coordination/quota/guarantee.go", `return p.taken[team]+main.of(beside)+main.of(task) <= p.StatusOf(team).Surplus(p.ClaimedTask)+tolerance`, `return true`},
	{"team use follows the usage record, not the view", "coordination/controller/limits.go", `	return use, use.Max(sum)`, `	return sum, sum`},
	{"a status that is not final is confirmed", "coordination/controller/replies.go", `	c.commitWithRevision(kv.PriorityUser, []kv.Compare{{Key: records.JobPrefix + jobID, Version: version}}, nil, within, func(err error, revision uint64) {
		switch {
		case err == nil &&`, `	_ = records.JobPrefix
	func(do func(error, uint64)) { do(nil, 0) }(func(err error, revision uint64) {
		switch {
		case err == nil &&`},
	{"a user request's outcome is unknown if rereading fails", "coordination/controller/commit.go", `if !read && txn.Priority == kv.PriorityUser {`, `if false && !read {`},
	{"a cancelled status is sent once the watch reaches it", "coordination/controller/replies.go", `if answer.Phase != protocol.JobCancelled || c.view.Revision >= cached.version {`, `if true {`},
	{"a cancelled job stays in the view for delayed claims", "coordination/replica/view_jobs.go", `return v.Loaded && record.State == protocol.JobCancelled && version > v.Revision`, `return false`},
	{"a job is done once all its chunks are complete", "coordination/controller/claims.go", `(other != last && !other.Record.IsComplete())`, `false`},
	{"a blocked job is not queued", "coordination/replica/view_jobs.go", `	if v.ApplyBlockedJob(jobID, record, version) {
		return
	}
`, ``},
	{"a blocked job is released once all dependencies are done", "coordination/dag/graph.go", `return len(b.unfinished) == 0 && !b.cancelled`, `return len(b.unfinished) <= 1 && !b.cancelled`},
	{"a submission is refused only for provably missing dependencies", "coordination/controller/dependencies.go", `		c.proveDependencies(spec, missing, until, reply)
		return
`, `		reply(transport.Response{Status: 422})
		return
`},
	{"a job with unknown dependencies is not accepted unchecked", "coordination/controller/dependencies.go", `if missing := c.unknownJobs(spec.Dependencies); len(missing) > 0 {`, `if missing := c.unknownJobs(spec.Dependencies); len(missing) > 1000 {`},
	{"cancelling a job cancels its dependents", "coordination/dag/graph.go", `		for _, dependent := range g.dependents[job.ID] {
			pending = append(pending, dependent)
		}
`, ``},
	{"a blocked job's status waits for the confirmed revision", "coordination/controller/replies.go", `case err == nil && c.isUndecided(jobID):`, `case false:`},
	{"a dependency inherits its dependents' priority", "coordination/dag/urgency.go", `urgency.Priority = max(urgency.Priority, inherited.Priority, dependent.Spec.Priority())`, `_ = inherited`},
	{"a refusal puts the announced limits into effect", "storage/kv/limiter.go", `	l.lowered = true
	return true
`, `	return false
`},
	{"zone constraints count the tasks already placed", "coordination/controller/schedule.go", `return placement.NewZoneConstraint(entry.Spec, c.view.ZonesOf(entry.Claim))`, `return placement.NewZoneConstraint(entry.Spec, nil)`},
	{"a gang reservation ends once a shard claims the job", "coordination/controller/gangs.go", `|| !canReserveAcrossShards(job) {
			c.endGangReservation`, `|| false {
			c.endGangReservation`},
	{"capacity is reserved only for gangs that all machines can hold", "coordination/controller/gangs.go", `if exceedsShards && c.tasksAcrossShards(job.Spec()) >= job.Spec().Tasks {`, `if exceedsShards {`},
	{"other work is placed between reservations for gangs", "coordination/controller/gangs.go", `	if c.isYielding(now) {`, `	if c.isYielding(now) && false {`},
	{"a machine gets no more tasks than its heartbeat may list", "coordination/placement/capacity.go", `return c.Tasks < MaxListedTasks && c.Free.Fits(spec)`, `return c.Free.Fits(spec)`},
	{"a gang is placed only after its old attempt ends", "coordination/controller/schedule.go", `	if isGang && entry.Claim != nil && len(entry.Claim.Record.Placements) > 0 {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		return false, false // all placements of the gang's former attempt have to end first
	}
`, ``},
	{"a completion counts only under the current fencing token", "coordination/controller/reconcile.go", `if !task.machine.ShowsToken(task.shard) && !isReturned(task.machine) {
		return outcomePending`, `if false {
		return outcomePending`},
	{"commands queued under an earlier token are dropped", "coordination/controller/shards.go", `		machine.Commands.Pending = nil
		delete(c.pendingCommands, machine)
`, `		_ = machine
`},
	{"an adoption conflicts with an answer to a provision request", "coordination/controller/adoption.go", `			ops = append(ops, kv.Op{Key: records.ProvisionPrefix + provision.Name, Value: &unchanged})
`, `			_ = unchanged
`},
	{"leadership follows the leader record, not the commit's answer", "coordination/controller/leadership.go", `c.leadership.isSelf = record.Node == c.settings.NodeName && record.StartedAtMs == c.startedAt.UnixMilli(); c.leadership.isSelf {`, `c.leadership.isSelf = record.Node == c.settings.NodeName && record.StartedAtMs == c.startedAt.UnixMilli() && !c.leadership.campaigning; c.leadership.isSelf {`},
	{"an empty set of orphan claims is removed", "coordination/replica/view_claims.go", `if delete(set, claim.Key); len(set) == 0 {`, `if delete(set, claim.Key); false {`},
	{"a partitioned controller extends leases for an unreachable owner", "coordination/controller/leases.go", `	if heartbeat.FencingToken > max(shard.Version, c.view.Revision) || !failover.MayExtendLease`, `	if true || heartbeat.FencingToken > max(shard.Version, c.view.Revision) || !failover.MayExtendLease`},
	{"machines of a zone that seems partitioned are not fenced", "coordination/controller/failuredetection.go", `	return seen && now.Sub(at)`, `	return false && seen && now.Sub(at)`},
	{"no lease is extended for a cancelled task", "coordination/controller/leases.go", `status.Phase != protocol.TaskExited && (`, `false && (`},
	{"silence counts from the end of a pause", "coordination/controller/failuredetection.go", `	if resumed := c.pauses.ResumedAt(); resumed.After(machine.AdoptedAt) {`, `	if resumed := c.pauses.ResumedAt(); false && resumed.After(machine.AdoptedAt) {`},
	{"a probe's answer reveals a machine's restart", "coordination/controller/probes.go", `machine.Record.State == records.MachineInUse && health.HasRestarted(replica.MessagePositionOf(before), replica.MessagePositionOf(heartbeat)) {`, `machine.Record.State == records.MachineInUse && false {`},
	{"heartbeats of an earlier incarnation do not count", "coordination/health/incarnation.go", `return floor == 0 || p.FencingToken > floor`, `return floor == 0 || p.FencingToken >= 0`},
	{"a heartbeat after a possible restart gets no commands", "coordination/controller/agents.go", `	if !mayBeRestarted && c.view.IsActive(shard) {`, `	if c.view.IsActive(shard) {`},
	{"registration is conditional on the node record's version", "coordination/controller/membership.go", `[]kv.Compare{{Key: key, Version: c.view.Nodes[c.settings.NodeName].Version}}`, `nil`},
	{"no placed task starts over a lowered team limit", "coordination/controller/starts.go", `return c.isOverLimit(claim.Spec) || machine`, `return machine`},
	{"no placed task starts on a machine that cannot report", "coordination/controller/starts.go", ` || (c.cannotReport(machine, now) && !c.isStateDown(now))`, ``},
	{"nothing is placed on a machine that cannot report", "coordination/controller/capacities.go", ` && !c.cannotReport(machine, now)`, ``},
	{"a machine that cannot report for long is returned", "coordination/health/reachability.go", `return CannotReport(lastHeartbeat, actingSince, now.Add(-unreachableLeases*lease), lease)`, `return false`},
	{"a machine that cannot receive and lost its tasks is returned", "coordination/controller/probes.go", `machine.Detector.Reachability.CannotReceive() && !machine.ShowsToken(shard) && !machine.Lifecycle.Returning`, `false && !machine.Lifecycle.Returning`},
	{"no new token for a machine that likely cannot receive", "coordination/replica/machinetoken.go", `machine.Detector.Reachability.LikelyCannotReceive() || `, ``},
	{"self-isolation is detected for taken-over shards too", "coordination/health/isolation.go", `	if s.Home {
		return true
	}
`, `	if s.Home {
		return true
	}
	return false
`},
	{"a suspect job does not quarantine a machine", "coordination/quarantine/machine.go", `		case Suspect:
			continue
`, `		case Suspect:
			weight += weightUnknown
`},
	{"two jobs with unknown verdict quarantine no machine", "coordination/quarantine/machine.go", `quarantineWeight = 3`, `quarantineWeight = 2`},
	{"a job on probation runs one task at a time", "coordination/placement/queue.go", `	if e.isLimitedToOneTask() {
		return min(count, 1)
	}
`, ``},
	{"retries of a failing job back off", "coordination/quarantine/job.go", `j.retryAt = now.Add(wait/2`, `j.retryAt = now.Add(0*wait`},
	{"machines with overdue boots do not count as supply", "coordination/controller/boots.go", `return overdue[:provisioning.ReplacementCount(len(overdue), booting)]`, `return overdue[:0*provisioning.ReplacementCount(len(overdue), booting)]`},
	{"overdue machines are replaced a few at a time", "coordination/provisioning/replacement.go", `return min(overdue, 1+booting/bootingPerReplacement)`, `return overdue`},
	{"only machines provisioned under the current owner become overdue", "coordination/controller/boots.go", ` || !shard.OwnedSince.Before(time.UnixMilli(machine.Record.RentedAtMs)) {
			continue`, ` {
			continue`},
	{"best-effort work keeps to its share under contention", "coordination/placement/besteffort.go", `	if c.Contended {`, `	if false {`},
	{"a best-effort job long unplaced counts as not started", "coordination/placement/besteffort.go", `return anyStarted && unplacedFor < maxUnplaced`, `return anyStarted`},
	{"a long-waiting array gets a machine kept for GPUs", "coordination/placement/gpumachines.go", `			capacity.KeptForGPUJobs, capacity.KeptFromBestEffort = false, false
			return true`, `			return false`},
	{"provisioned machines are recorded once the watch is current", "coordination/controller/provisions.go", `if c.view.Revision < provision.Version {`, `if false {`},
	{"a long-waiting array starts one task ahead", "coordination/placement/startahead.go", `return !started && waited >= maxWait`, `return false`},
	{"provisioning for best-effort work is limited", "coordination/placement/besteffort.go", `	bestEffortDemand = min(bestEffortDemand, bestEffortLimit)
`, ``},
	{"reads alternate with changes", "storage/kv/batch.go", `	if areReadsDue && !b.lastWasRead {`, `	if areReadsDue {`},
	{"reads use only half of the concurrent requests", "storage/kv/batch.go", `maxReadsInflight = maxInflight / 2`, `maxReadsInflight = maxInflight`},
	{"registration stops waiting when its context ends", "coordination/controller/membership.go", `	case <-ctx.Done():
		return true, ctx.Err() // the store may have stopped before it answers
`, ``},
}

// TestGuards removes each guard from a copy of the sources and checks that a generated
// script, a kept trace or another test fails without it. It prints the rows of the
// table in docs/measurements/simulation.md. Without -guards it only checks that each guard
// still occurs in the sources, exactly as it stands in this list.
func TestGuards(t *testing.T) {
	for _, g := range removableGuards {
		if *guards == 0 {
			checkGuardExists(t, g)
			continue
		}
		t.Run(g.name, func(t *testing.T) { checkRemovalDetected(t, g) })
	}
}

func checkGuardExists(t *testing.T, g guard) {
	src, err := os.ReadFile(filepath.Join("..", g.file))
	if err != nil || strings.Count(string(src), g.with) != 1 {
		t.Errorf("%s: does not occur exactly once in %s (%v)", g.name, g.file, err)
	}
}

var (
	failedSeed  = regexp.MustCompile(`--- FAIL: Test(?:Seeds|Pipelines)/(\d+)`)
	failedTest  = regexp.MustCompile(`--- FAIL: (?:TestTraces/)?(\S+)`)
	failedKinds = regexp.MustCompile(`failed: (map\[.*\])`)
)

// checkRemovalDetected removes a guard from a copy of the sources and fails the test if no
// script generated from the seeds, no trace and no unit test fails there.
func checkRemovalDetected(t *testing.T, g guard) {
	dir := t.TempDir()
	removeGuard(t, dir, g)
	text := runTests(dir, "./internal/simtest", "-run", "TestSeeds|TestPipeline", "-seeds", strconv.Itoa(*guards), "-from", strconv.Itoa(*from), "-plays", "0")
	failingTests := failuresBesideKnown(t, runTests(dir, "./internal/coordination/...", "./internal/storage/..."))
	t.Logf("| %s | traces | %s |", g.name, strings.Join(failingTests, ", "))
	first := 0
	for _, hit := range failedSeed.FindAllStringSubmatch(text, -1) {
		if seed, _ := strconv.Atoi(hit[1]); first == 0 || seed < first {
			first = seed
		}
	}
	kinds := failedKinds.FindStringSubmatch(text)
	switch {
	case first > 0 && kinds != nil:
		t.Logf("| %s | %d | %s |", g.name, first-*from+1, kinds[1])
	case strings.Contains(text, "panic:"):
		line, _, _ := strings.Cut(text[strings.Index(text, "panic:"):], "\n")
		t.Logf("| %s | ends the run | %s |", g.name, line)
	case len(failingTests) == 0:
		t.Errorf("| %s | not found in %d | %.300s |", g.name, *guards, text)
	}
}

// failuresBesideKnown lists the traces and unit tests that fail by the output of "go test", without
// those that fail with all guards in place.
func failuresBesideKnown(t *testing.T, output string) []string {
	known, err := testreport.ReadKnownFile(filepath.Join("..", "..", "KNOWN-RED.txt"))
	if err != nil {
		t.Fatal(err)
	}
	isKnown := map[string]bool{"TestTraces": true} // fails with each of its traces
	for _, failure := range known {
		isKnown[path.Base(failure.Test)] = true
	}
	var failing []string
	for _, hit := range failedTest.FindAllStringSubmatch(output, -1) {
		if !isKnown[hit[1]] {
			failing = append(failing, hit[1])
		}
	}
	return failing
}

// removeGuard copies the sources to a directory and removes a guard from the copy.
func removeGuard(t *testing.T, dir string, g guard) {
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("..", ".."))); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "internal", g.file)
	src, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(strings.Replace(string(src), g.with, g.out, 1)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// runTests runs "go test" in a directory and returns its output, whether it passes or fails.
func runTests(dir string, args ...string) string {
	cmd := exec.Command("go", append([]string{"test"}, args...)...)
	cmd.Dir = dir
	raw, _ := cmd.CombinedOutput()
	return string(raw)
}
