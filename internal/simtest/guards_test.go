package simtest

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var guards = flag.Int("guards", 0, "take each guard out once and look for it with so many scripts (minutes of processor time)")

// guard is a line that keeps a rule, and what is there without it.
type guard struct {
	name      string
	file      string
	with, out string
}

// taken are the guards that docs/DESIGN.md names.
var taken = []guard{
	{"a claim must not exist yet", "coordination/controller/claims.go", `return append(change.compares, claimCompares(shard, claim)...), change.ops, true`, `return append(change.compares, claimCompares(shard, claim)[0]), change.ops, true`},
	{"a claim must be the version decided on", "coordination/controller/claims.go", `	change.compares = append(change.compares, claimCompares(shard, claim)...)
	if job := c.view.Jobs`, `	change.compares = append(change.compares, kv.Compare{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken})
	if job := c.view.Jobs`},
	{"a placement needs the shard still owned", "coordination/controller/claims.go", `	change.compares = append(change.compares, claimCompares(shard, claim)...)
	if job`, `	change.compares = append(change.compares, kv.Compare{Key: claim.Key, Version: claim.Version})
	if job`},
	{"a placement needs the job as it was", "coordination/controller/claims.go", `change.compares = append(change.compares, kv.Compare{Key: records.JobPrefix + claim.JobID, Version: job.Version})`, `_ = job`},
	{"write ahead", "coordination/controller/claims.go", `	c.commit(claimPriority(entry.Spec), compares, ops, 0, func(err error) { c.finishClaim(shard, claim, err) })`, `	for _, placed := range next.Placements {
		if machine := c.view.Machines[placed.Host]; machine != nil {
			c.queueCommands(shard, machine, protocol.StartCommand(protocol.TaskName(claim.JobID, placed.Task), placed.Attempt))
		}
	}
	c.sendPendingCommands(shard)
	c.commit(claimPriority(entry.Spec), compares, ops, 0, func(err error) { c.finishClaim(shard, claim, err) })`},
	{"a new process acquires its shard anew", "coordination/controller/shards.go", `case !c.view.Loaded:`, `case false:`},
	{"a shard is acted for once its records are read", "coordination/replica/shard.go", `shard.FencingToken != 0 && v.Revision >= shard.FencingToken`, `shard.FencingToken != 0`},
	{"silence proves nothing", "coordination/controller/reconcile.go", `	if machine.Agent.Heartbeat == nil {
		return outcomeRunning
	}
	grace`, `	if machine.Agent.Heartbeat == nil {
		return outcomeRunning
	}
	if c.silenceOf(machine, now) > c.policy.FenceAfter {
		return outcomeGone
	}
	grace`},
	{"an account counts under the present token only", "coordination/replica/machine.go", `return m.Agent.Heartbeat != nil && shard.FencingToken != 0 && m.Agent.Heartbeat.FencingToken >= shard.FencingToken`, `return m.Agent.Heartbeat != nil && shard.FencingToken != 0`},
	{"command outcome unknown", "coordination/replica/commandqueue.go", `slices.ContainsFunc(m.Commands.Unknown, func(start UnknownStart) bool { return start.Task == task && start.Attempt == attempt })`, `false`},
	{"a machine that keeps a cancelled task is fenced", "coordination/controller/probes.go", `		c.enforceCancellations(now)
`, ``},
	{"fenced without a record if need be", "coordination/controller/cancellations.go", `return cancelled.ShouldReturnUnrecorded(limit, c.isStateDown(now)) && machine.Record.State == records.MachineInUse && !c.isRefusedAlone(now)`, `return false`},
	{"whoever knows stops cancelled tasks", "coordination/controller/probes.go", `c.stopCancelledTasks(machine, heartbeat)`, `_ = machine`},
	{"and asks again", "coordination/health/misplaced_tasks.go", `t.SinceProbe >= interval`, `t.SinceProbe > 1000*interval`},
	{"its owner may begin them again", "coordination/health/misplaced_tasks.go", `if t.Finding == Ended || t.Age > limit {`, `if t.Finding == Ended {
		return false
	}
	if t.Age > limit {`},
	{"who hears nobody begins nothing", "coordination/controller/reconcile.go", `if !c.hasNoContact(now) && `, `if `},
	{"all cancellations are repeated", "coordination/controller/peers.go", `c.nextRepeated = jobID`, `c.nextRepeated = ""`},
	{"the bound counts from the record", "coordination/replica/job.go", `record.CancelledAtMs != 0 && at.Before(j.FinalAt)`, `false && at.Before(j.FinalAt)`},
	{"team limits are conditions", "coordination/controller/limits.go", `return append(compares, kv.Compare{Key: key, Version: usage.Version}), []kv.Op`, `return compares, []kv.Op`},
	{"a start needs its limit as it was", "coordination/controller/limits.go", `	compares = append(compares, c.view.Quota.LimitCompares(team)...)`, ``},
	{"a start needs the bookings as they were", "coordination/controller/limits.go", `hasRecord && grows {`, `hasRecord && grows && false {`},
	{"a shard starts within its allotment", "coordination/controller/limits.go", `!grows || (c.view.IsUseKnown(holder) && more <= c.view.Quota.Allowance(team, holder, replica.TaskResources(claim.Spec)))`, `true || more < 0 || holder == ""`},
	{"claims of unknown size are not nothing", "coordination/replica/teams.go", `			if claim.Record == nil || claim.Record.Shard == holder || (claim.Record.Shard == "" && holder == quota.CrossShard) {`, `			if false && claim.Record == nil && holder == "" {`},
	{"the larger of two versions counts", "coordination/replica/claim.go", `return max(c.PlacedCount(), len(c.Pending.Placements))`, `return c.PlacedCount()`},
	{"what became of a start is found out", "coordination/controller/commit.go", `for err != nil && mustRead && processCtx`, `for err != nil && false && mustRead && processCtx`},
	{"only who decides for a holder gives", "coordination/quota/transfers.go", `[]kv.Compare{ownerCompare, {Key`, `[]kv.Compare{{Key`},
	{"gifts under way are given", "coordination/quota/allotments.go", `left := team.grants()[holder].Minus(team.transferring[holder]).Minus(`, `left := team.grants()[holder].Minus(`},
	{"a limit is divided once all starts are known", "coordination/quota/limits.go", `divideLimit(t *teamState, s ClusterState) (change LimitChange, due bool) {
	if !s.isCompleteUpTo(t.limitVersion) {`, `divideLimit(t *teamState, s ClusterState) (change LimitChange, due bool) {
	if false {`},
	{"older sources find the limit used up", "coordination/quota/limits.go", `ByShard: map[string]Resources{legacyBarrier: t.configured}`, `ByShard: map[string]Resources{}`},
	{"the lower limit counts", "coordination/quota/allotments.go", `	if team.isConfiguredLower() {
		return Resources{}`, `	if false {
		return Resources{}`},
	{"a booking is carried out once all before it is known", "coordination/controller/guarantees.go", `reservation.version == 0 || c.view.Revision < reservation.version {`, `reservation.version == 0 {`},
	{"a booking that does not hold any more goes", "coordination/controller/guarantees.go", `if entitled < reservation.tasks ||`, `if (entitled < 0) ||`},
	{"bookings exclude one another", "coordination/quota/reservations.go", `		compares = append(compares, kv.Compare{Key: key, Version: m.team(name).reservationsVersion})
`, ``},
	{"a lender keeps its guarantee", "coordination/quota/guarantee.go", `return p.taken[team]+main.of(beside)+main.of(task) <= p.StatusOf(team).Surplus(p.ClaimedTask)+tolerance`, `return true`},
	{"team use by the record", "coordination/controller/limits.go", `	return use, use.Max(sum)`, `	return sum, sum`},
	{"404 is confirmed", "coordination/controller/replies.go", `	c.commitWithRevision(kv.PriorityUser, []kv.Compare{{Key: records.JobPrefix + jobID, Version: version}}, nil, within, func(err error, revision uint64) {
		switch {
		case err == nil &&`, `	_ = records.JobPrefix
	func(do func(error, uint64)) { do(nil, 0) }(func(err error, revision uint64) {
		switch {
		case err == nil &&`},
	{"what could not be read anew is not answered", "coordination/controller/commit.go", `if !read && txn.Priority == kv.PriorityUser {`, `if false && !read {`},
	{"a cancellation is told once its claims are known", "coordination/controller/replies.go", `if answer.Phase != protocol.JobCancelled || c.view.Revision >= cached.version {`, `if true {`},
	{"claims may come after their job's cancellation", "coordination/replica/view_jobs.go", `return v.Loaded && record.State == protocol.JobCancelled && version > v.Revision`, `return false`},
	{"done needs all chunks", "coordination/controller/claims.go", `(other != last && !other.Record.IsComplete())`, `false`},
	{"a job that waits is in no queue", "coordination/replica/view_jobs.go", `	if v.ApplyBlockedJob(jobID, record, version) {
		return
	}
`, ``},
	{"a job is released once all that it needs is done", "coordination/dag/graph.go", `return len(b.unfinished) == 0 && !b.cancelled`, `return len(b.unfinished) <= 1 && !b.cancelled`},
	{"a job is refused on proof that one it names is not there", "coordination/controller/dependencies.go", `		c.proveDependencies(spec, missing, until, reply)
		return
`, `		reply(transport.Response{Status: 422})
		return
`},
	{"jobs that were never accepted are not waited for", "coordination/controller/dependencies.go", `if missing := c.unknownJobs(spec.Dependencies); len(missing) > 0 {`, `if missing := c.unknownJobs(spec.Dependencies); len(missing) > 1000 {`},
	{"a cancellation goes down the graph", "coordination/dag/graph.go", `		for _, dependent := range g.dependents[job.ID] {
			pending = append(pending, dependent)
		}
`, ``},
	{"a job that waits is answered by what was read since", "coordination/controller/replies.go", `case err == nil && c.isUndecided(jobID):`, `case false:`},
	{"what an urgent job needs is urgent", "coordination/dag/urgency.go", `urgency.Priority = max(urgency.Priority, inherited.Priority, dependent.Spec.Priority())`, `_ = inherited`},
	{"a refused transaction proves lower limits", "storage/kv/limiter.go", `	l.lowered = true
	return true
`, `	return false
`},
	{"zones of what is placed already", "coordination/controller/schedule.go", `return placement.NewZoneConstraint(entry.Spec, c.view.ZonesOf(entry.Claim))`, `return placement.NewZoneConstraint(entry.Spec, nil)`},
	{"a gang claimed meanwhile is not placed again", "coordination/controller/gangs.go", `|| !canReserveAcrossShards(job) {
			c.endGangReservation`, `|| false {
			c.endGangReservation`},
	{"a gang's old attempt has to be gone", "coordination/controller/schedule.go", `	if isGang && entry.Claim != nil && len(entry.Claim.Record.Placements) > 0 {
		placement.ReleaseAssignments(entry.Spec, assignments, capacities)
		return false, false // all placements of the gang's former attempt have to end first
	}
`, ``},
	{"done frees a placement under the present token only", "coordination/controller/reconcile.go", `if !task.machine.ShowsToken(task.shard) && !isReturned(task.machine) {
		return outcomePending`, `if false {
		return outcomePending`},
	{"orders of an earlier token are void", "coordination/controller/shards.go", `		machine.Commands.Pending = nil
		delete(c.pendingCommands, machine)
`, `		_ = machine
`},
	{"adoption and a hire's answer exclude one another", "coordination/controller/adoption.go", `			ops = append(ops, kv.Op{Key: records.ProvisionPrefix + provision.Name, Value: &unchanged})
`, `			_ = unchanged
`},
	{"the lead is known by its record", "coordination/controller/leadership.go", `c.leadership.isSelf = record.Node == c.settings.NodeName && record.StartedAtMs == c.startedAt.UnixMilli(); c.leadership.isSelf {`, `c.leadership.isSelf = record.Node == c.settings.NodeName && record.StartedAtMs == c.startedAt.UnixMilli() && !c.leadership.campaigning; c.leadership.isSelf {`},
	{"no empty set of claims without a job", "coordination/replica/view_claims.go", `if delete(set, claim.Key); len(set) == 0 {`, `if delete(set, claim.Key); false {`},
	{"leases are kept behind a cut", "coordination/controller/leases.go", `	if heartbeat.FencingToken > shard.Version || !failover.MayExtendLease`, `	if true || heartbeat.FencingToken > shard.Version || !failover.MayExtendLease`},
	{"a zone that seems cut off is not fenced", "coordination/controller/failuredetection.go", `	return seen && now.Sub(at)`, `	return false && seen && now.Sub(at)`},
	{"no lease is kept for a cancelled task", "coordination/controller/leases.go", `status.Phase != protocol.TaskExited && (`, `false && (`},
	{"silence counts from waking", "coordination/controller/failuredetection.go", `	if resumed := c.pauses.ResumedAt(); resumed.After(machine.AdoptedAt) {`, `	if resumed := c.pauses.ResumedAt(); false && resumed.After(machine.AdoptedAt) {`},
	{"an answer tells that a machine began again", "coordination/controller/probes.go", `machine.Record.State == records.MachineInUse && health.HasRestarted(replica.MessagePositionOf(before), replica.MessagePositionOf(heartbeat)) {`, `machine.Record.State == records.MachineInUse && false {`},
	{"accounts of a former life do not count", "coordination/health/incarnation.go", `return floor == 0 || p.FencingToken > floor`, `return floor == 0 || p.FencingToken >= 0`},
	{"a doubtful report brings no orders", "coordination/controller/agents.go", `	if !mayBeRestarted && c.view.IsActive(shard) {`, `	if c.view.IsActive(shard) {`},
	{"registration is conditional", "coordination/controller/membership.go", `[]kv.Compare{{Key: key, Version: c.view.Nodes[c.settings.NodeName].Version}}`, `nil`},
	{"nothing begins under a limit lowered since", "coordination/controller/reconcile.go", `	case stop, c.isOverLimit(claim.Spec), machine.Detector.Reachability.CannotReceive(), c.cannotReport(machine, now) && !c.isStateDown(now):`, `	case stop, machine.Detector.Reachability.CannotReceive(), c.cannotReport(machine, now) && !c.isStateDown(now):`},
	{"what a mute machine has lost is not begun there again", "coordination/controller/reconcile.go", `machine.Detector.Reachability.CannotReceive(), c.cannotReport(machine, now) && !c.isStateDown(now):`, `machine.Detector.Reachability.CannotReceive():`},
	{"nothing new is placed on a mute machine", "coordination/controller/capacities.go", ` && !c.cannotReport(machine, now)`, ``},
	{"a machine that stays mute is returned", "coordination/health/reachability.go", `return CannotReport(lastHeartbeat, actingSince, now.Add(-unreachableLeases*lease), lease)`, `return false`},
	{"a machine that does not hear and lost its work is returned", "coordination/controller/probes.go", `machine.Detector.Reachability.CannotReceive() && !machine.ShowsToken(shard) && !machine.Lifecycle.Returning`, `false && !machine.Lifecycle.Returning`},
	{"no token is raised for a machine that may not hear it", "coordination/replica/shard.go", `!machine.Detector.Reachability.LikelyCannotReceive() && `, ``},
	{"who stands in is told from machines that are silent", "coordination/health/isolation.go", `	if s.Home {
		return true
	}
`, `	if s.Home {
		return true
	}
	return false
`},
	{"a suspect condemns no machine", "coordination/quarantine/machine.go", `		case Suspect:
			continue
`, `		case Suspect:
			weight += weightUnknown
`},
	{"two unknown jobs condemn no machine", "coordination/quarantine/machine.go", `quarantineWeight = 3`, `quarantineWeight = 2`},
	{"a suspect is tried with one task", "coordination/placement/queue.go", `	if e.isLimitedToOneTask() {
		return min(count, 1)
	}
`, ``},
	{"tries become rarer", "coordination/quarantine/job.go", `j.retryAt = now.Add(wait/2`, `j.retryAt = now.Add(0*wait`},
	{"late boots do not count", "coordination/controller/boots.go", `return overdue[:provisioning.ReplacementCount(len(overdue), booting)]`, `return overdue[:0*provisioning.ReplacementCount(len(overdue), booting)]`},
	{"late ones are replaced a few at a time", "coordination/provisioning/replacement.go", `return min(overdue, 1+booting/bootingPerReplacement)`, `return overdue`},
	{"boots are judged by who saw them", "coordination/controller/boots.go", ` || !shard.OwnedSince.Before(time.UnixMilli(machine.Record.RentedAtMs)) {
			continue`, ` {
			continue`},
	{"idle work starts little while others wait", "coordination/placement/besteffort.go", `	if c.Contended {`, `	if false {`},
	{"idle work that has begun has its turn again", "coordination/placement/besteffort.go", `return anyStarted && unplacedFor < maxUnplaced`, `return anyStarted`},
	{"an array is owed a machine kept for cards", "coordination/placement/gpumachines.go", `			capacity.KeptForGPUJobs, capacity.KeptFromBestEffort = false, false
			return true`, `			return false`},
	{"a hire's machines wait for the watch", "coordination/controller/provisions.go", `if c.view.Revision < provision.Version {`, `if false {`},
	{"an array begins ahead of a burst", "coordination/placement/startahead.go", `return !started && waited >= maxWait`, `return false`},
	{"little is rented for idle work", "coordination/placement/besteffort.go", `	bestEffortDemand = min(bestEffortDemand, bestEffortLimit)
`, ``},
	{"questions go by turns with changes", "storage/kv/batch.go", `	if areReadsDue && !b.lastWasRead {`, `	if areReadsDue {`},
	{"questions leave requests under way to changes", "storage/kv/batch.go", `maxReadsInflight = maxInflight / 2`, `maxReadsInflight = maxInflight`},
	{"every wait ends with the context", "coordination/controller/membership.go", `	case <-ctx.Done():
		return true, ctx.Err() // the store may have stopped before it answers
`, ``},
}

// TestGuards takes each guard out of a copy of the sources and has the
// scripts and the kept traces find it. It prints a line for each, the table in
// docs/measurements/simulation.md. Without -guards it checks that the sources still have
// every guard as it is written down here.
func TestGuards(t *testing.T) {
	for _, g := range taken {
		if *guards == 0 {
			checkGuardStands(t, g)
			continue
		}
		t.Run(g.name, func(t *testing.T) { findMissing(t, g) })
	}
}

func checkGuardStands(t *testing.T, g guard) {
	src, err := os.ReadFile(filepath.Join("..", g.file))
	if err != nil || strings.Count(string(src), g.with) != 1 {
		t.Errorf("%s: not once in %s (%v)", g.name, g.file, err)
	}
}

var (
	failedSeed  = regexp.MustCompile(`--- FAIL: Test(?:Seeds|Pipelines)/(\d+)`)
	failedTest  = regexp.MustCompile(`--- FAIL: (?:TestTraces/)?(\S+)`)
	failedKinds = regexp.MustCompile(`failed: (map\[.*\])`)
)

// findMissing takes a guard out of a copy of the sources, which scripts drawn from seeds,
// the traces or the small tests must notice.
func findMissing(t *testing.T, g guard) {
	dir := t.TempDir()
	takeOut(t, dir, g)
	text := runTests(dir, "./internal/simtest", "-run", "TestSeeds|TestPipeline", "-seeds", strconv.Itoa(*guards), "-from", strconv.Itoa(*from), "-plays", "0")
	var noticed []string // traces and small tests
	for _, hit := range failedTest.FindAllStringSubmatch(runTests(dir, "./internal/coordination/...", "./internal/storage/..."), -1) {
		noticed = append(noticed, hit[1])
	}
	t.Logf("| %s | traces | %s |", g.name, strings.Join(noticed, ", "))
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
	case len(noticed) == 0:
		t.Errorf("| %s | not found in %d | %.300s |", g.name, *guards, text)
	}
}

// takeOut copies the sources to a directory and takes a guard out there.
func takeOut(t *testing.T, dir string, g guard) {
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

// runTests runs "go test" in a directory and returns what it prints, passed or failed.
func runTests(dir string, args ...string) string {
	cmd := exec.Command("go", append([]string{"test"}, args...)...)
	cmd.Dir = dir
	raw, _ := cmd.CombinedOutput()
	return string(raw)
}
