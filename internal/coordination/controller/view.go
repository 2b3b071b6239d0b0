package controller

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// job is an accepted job that is open, or final with claims left to clear.
type job struct {
	ref    string
	rec    *records.Job
	stamp  uint64
	chunks int
	size   int // tasks in a chunk
	claims map[int]*claim
	seen   time.Time              // when this node first saw it
	ended  time.Time              // when this node saw it final
	told   map[string]time.Time   // cancelled: when another controller last took this one's word
	ev     quarantine.JobEvidence // for and against it, after failures
	pause  time.Time              // no start before this: a worker has not heard of it yet
	lost   map[int]time.Time      // chunks left to another shard until then
	keys   []string               // of its claims, by chunk; made when first asked for
	heir   inheritance            // what it has from the jobs that need it
}

// spec is the job's description, with the rank that counts now.
func (j *job) spec() *protocol.Submission {
	if j.heir.spec != nil {
		return j.heir.spec
	}
	return j.rec.Spec
}

// submitted is when the job was accepted: deadlines count from then, also those of a job
// that waited for others first.
func (j *job) submitted() time.Time {
	if j.rec.ReleasedAtMs != 0 {
		return time.UnixMilli(j.rec.AcceptedAtMs)
	}
	return j.seen
}

// queuedAt is when the job was let into the queues.
func (j *job) queuedAt() time.Time {
	return time.UnixMilli(max(j.rec.AcceptedAtMs, j.rec.ReleasedAtMs))
}

// key is the key of a chunk's claim. Each pass over a queue asks for it, and
// putting it together anew every time was a tenth of a pass.
func (j *job) key(chunk int) string {
	if len(j.keys) < j.chunks {
		j.keys = make([]string, j.chunks)
		for i := range j.keys {
			j.keys[i] = records.ClaimKey(j.ref, i)
		}
	}
	return j.keys[chunk]
}

// claim is a claimed chunk; pend is the version being committed, if any.
type claim struct {
	key    string
	ref    string
	chunk  int
	rec    *records.Claim // nil while the first version is being committed
	stamp  uint64
	pend   *records.Claim
	spec   *protocol.Submission
	evict  map[int]time.Time // tasks to be stopped, and since when
	again  time.Time         // earliest next commit after a conflict
	lentTo map[slot]string   // tasks stopped for the guarantee of a job of another team
	halt   uint64            // gang: the attempt that is being ended
	look   time.Time         // not to be looked at before
	ripe   time.Time         // when the first completion not yet booked was seen
	bare   time.Time         // since when a pass over the queue has found none of it placed

	// Kept by reindex.
	on        map[slot]*place
	gen       uint32
	sum       tally
	shard     string
	freshSpec bool
}

// latest is the version being committed, or else the committed one.
func (c *claim) latest() *records.Claim {
	if c.pend != nil {
		return c.pend
	}
	return c.rec
}

// halted tells whether a gang's present attempt is being ended. The attempt's
// number decides: with several owners not each of them sees an attempt's last
// task go, and a mark that outlived its attempt would end the next one too.
func (c *claim) halted() bool { return c.rec != nil && c.halt != 0 && c.halt == c.rec.LastAttempt }

type teamUse struct {
	rec   records.TeamUsage
	stamp uint64
	busy  bool
}

type hire struct {
	name   string
	rec    records.Provision
	stamp  uint64
	busy   bool
	next   time.Time
	answer []string // machines that the cloud has named, until the cache is complete
}

// store takes a record of the ledger into the cache. Older versions than the
// cached one are ignored: watch, own commits and reads arrive in any order.
func (n *Controller) store(key string, rec any, stamp uint64) {
	if stamp <= n.stamps[key] {
		return
	}
	n.stamps[key] = stamp
	n.led.ObserveVersion(key, stamp, rec != nil)
	switch {
	case strings.HasPrefix(key, records.JobPrefix):
		r, _ := rec.(*records.Job)
		n.storeJob(strings.TrimPrefix(key, records.JobPrefix), r, stamp)
	case strings.HasPrefix(key, records.ClaimPrefix):
		r, _ := rec.(*records.Claim)
		n.storeClaim(key, r, stamp)
	case strings.HasPrefix(key, records.MachinePrefix):
		r, _ := rec.(*records.Machine)
		n.storeMachine(strings.TrimPrefix(key, records.MachinePrefix), r, stamp)
	case strings.HasPrefix(key, records.ShardPrefix):
		r, _ := rec.(*records.Shard)
		n.storeShard(strings.TrimPrefix(key, records.ShardPrefix), r, stamp)
	case strings.HasPrefix(key, records.NodePrefix):
		r, _ := rec.(*records.Node)
		n.storeNode(strings.TrimPrefix(key, records.NodePrefix), r, stamp)
	case strings.HasPrefix(key, records.TeamUsagePrefix):
		if r, ok := rec.(*records.TeamUsage); ok && r != nil {
			t := n.team(strings.TrimPrefix(key, records.TeamUsagePrefix))
			t.rec, t.stamp = *r, stamp
		}
	case strings.HasPrefix(key, records.TeamLimitPrefix):
		r, _ := rec.(*records.TeamLimit)
		n.quota.ApplyLimit(strings.TrimPrefix(key, records.TeamLimitPrefix), r, stamp)
	case strings.HasPrefix(key, records.AllotmentPrefix):
		r, _ := rec.(*records.Allotment)
		n.quota.ApplyAllotment(strings.TrimPrefix(key, records.AllotmentPrefix), r, stamp)
	case strings.HasPrefix(key, records.ReservationPrefix):
		r, _ := rec.(*records.Reservations)
		n.quota.ApplyReservations(strings.TrimPrefix(key, records.ReservationPrefix), r, stamp)
	case strings.HasPrefix(key, records.ProvisionPrefix):
		r, _ := rec.(*records.Provision)
		n.storeHire(strings.TrimPrefix(key, records.ProvisionPrefix), r, stamp)
	case strings.HasPrefix(key, records.ImagePrefix):
		r, _ := rec.(*records.ImageLocations)
		n.storeImages(key, r)
	case strings.HasPrefix(key, records.GangReservationPrefix):
		r, _ := rec.(*records.GangReservation)
		n.storeGather(strings.TrimPrefix(key, records.GangReservationPrefix), r, stamp)
	case strings.HasPrefix(key, records.GangHoldPrefix):
		r, _ := rec.(*records.GangHold)
		n.storeHold(strings.TrimPrefix(key, records.GangHoldPrefix), r, stamp)
	case key == records.LeaderKey:
		r, _ := rec.(*records.Leader)
		n.storeLead(r, stamp)
	}
	n.poke()
}

// take decodes an item of the ledger and stores it.
func (n *Controller) take(it kv.Item) {
	if it.Version <= n.stamps[it.Key] {
		return
	}
	var rec any
	if it.Value != nil {
		rec = blank(it.Key)
		if rec == nil {
			return
		}
		if err := protocol.Decode(it.Value, rec); err != nil {
			n.log.Error("record unreadable", "key", it.Key, "err", err)
			return
		}
	}
	n.store(it.Key, rec, it.Version)
}

func blank(key string) any {
	switch {
	case strings.HasPrefix(key, records.JobPrefix):
		return new(records.Job)
	case strings.HasPrefix(key, records.ClaimPrefix):
		return new(records.Claim)
	case strings.HasPrefix(key, records.MachinePrefix):
		return new(records.Machine)
	case strings.HasPrefix(key, records.ShardPrefix):
		return new(records.Shard)
	case strings.HasPrefix(key, records.NodePrefix):
		return new(records.Node)
	case strings.HasPrefix(key, records.TeamUsagePrefix):
		return new(records.TeamUsage)
	case strings.HasPrefix(key, records.TeamLimitPrefix):
		return new(records.TeamLimit)
	case strings.HasPrefix(key, records.AllotmentPrefix):
		return new(records.Allotment)
	case strings.HasPrefix(key, records.ReservationPrefix):
		return new(records.Reservations)
	case strings.HasPrefix(key, records.ProvisionPrefix):
		return new(records.Provision)
	case strings.HasPrefix(key, records.ImagePrefix):
		return new(records.ImageLocations)
	case strings.HasPrefix(key, records.GangReservationPrefix):
		return new(records.GangReservation)
	case strings.HasPrefix(key, records.GangHoldPrefix):
		return new(records.GangHold)
	case key == records.LeaderKey:
		return new(records.Leader)
	}
	return nil
}

func (n *Controller) storeJob(ref string, r *records.Job, stamp uint64) {
	j := n.jobs[ref]
	if r == nil {
		return // job records are kept for ever
	}
	if n.storeHeld(ref, r, stamp) {
		return
	}
	if j == nil {
		if r.IsFinal() && !n.hasClaims(ref) && !n.mayHaveClaims(r, stamp) {
			n.remember(ref, r, stamp)
			return
		}
		j = &job{ref: ref, claims: make(map[int]*claim), seen: time.Now(), lost: make(map[int]time.Time)}
		n.jobs[ref] = j
		if r.Spec != nil && r.Spec.GPUs > 0 && !r.IsFinal() {
			n.cardsAt = j.seen
		}
	}
	if r.Spec == nil && j.rec != nil && j.rec.Spec != nil {
		c := *r
		c.Spec = j.rec.Spec
		r = &c
	}
	j.rec, j.stamp = r, stamp
	n.hungry[ref] = j
	n.pressing = n.pressing || (r.Spec != nil && r.Spec.Shape != protocol.ShapeArray)
	if r.IsFinal() && j.ended.IsZero() {
		j.ended = time.Now()
		// What counts is when its user was told, not when this process heard of it:
		// with every restart in between the machine that kept its tasks was given
		// the full time again.
		if at := time.UnixMilli(r.CancelledAtMs); r.CancelledAtMs != 0 && at.Before(j.ended) {
			j.ended = at
		}
	}
	if r.State == protocol.JobCancelled {
		n.cancelled[ref] = j
	}
	if r.Spec != nil {
		// From the record: every controller must cut a job the same way.
		j.size = max(1, r.ChunkSize)
		j.chunks = (r.Spec.Tasks + j.size - 1) / j.size
	}
	for key, c := range n.orphans[ref] {
		n.attach(j, c)
		delete(n.orphans[ref], key)
	}
	delete(n.orphans, ref)
	n.inherit(j)
	for _, c := range j.claims {
		n.setSpec(c, j.spec())
		n.mark(c)
	}
	n.forgetIfOver(j)
}

func (n *Controller) hasClaims(ref string) bool { return len(n.orphans[ref]) > 0 }

func (n *Controller) attach(j *job, c *claim) {
	j.claims[c.chunk] = c
	n.setSpec(c, j.spec())
}

// setSpec gives a claim its job's description. The record of a job that is over may have
// none: a try under way at a job that another shard has finished lost its own by that,
// and the process ended when the try failed.
func (n *Controller) setSpec(c *claim, spec *protocol.Submission) {
	if spec != nil && c.spec != spec {
		c.spec, c.freshSpec = spec, true
		n.reindex(c)
	}
}

// setPend says which version of a claim is being committed, if any.
func (n *Controller) setPend(c *claim, next *records.Claim) {
	c.pend = next
	n.reindex(c)
}

// remember keeps only a small entry of a final job.
func (n *Controller) remember(ref string, r *records.Job, stamp uint64) {
	if len(n.final) >= finalCache {
		for old := range n.final {
			delete(n.final, old)
			delete(n.stamps, records.JobPrefix+old)
			break
		}
	}
	n.final[ref] = finalJob{state: r.State, tasks: r.Tasks, stamp: stamp}
}

// finalCache bounds the finished jobs answered from memory; older ones are
// read from the state service.
const finalCache = 200_000

type finalJob struct {
	state string
	tasks int
	stamp uint64
}

// mayHaveClaims tells that a job's cancellation is known ahead of the watch, which may
// yet bring claims of it. Forgotten at once, the job had to be read again for them, which
// nobody can in an outage, and they were minded by nobody.
func (n *Controller) mayHaveClaims(r *records.Job, stamp uint64) bool {
	return n.loaded && r.State == protocol.JobCancelled && stamp > n.epoch
}

// reached takes it that the watch is complete up to a revision.
func (n *Controller) reached(epoch uint64) {
	n.epoch = max(n.epoch, epoch)
	for _, ref := range slices.Sorted(maps.Keys(n.ahead)) {
		if j := n.ahead[ref]; !n.mayHaveClaims(j.rec, j.stamp) {
			delete(n.ahead, ref)
			n.forgetIfOver(j)
		}
	}
	n.tellUntold(time.Now())
}

func (n *Controller) forgetIfOver(j *job) {
	if n.mayHaveClaims(j.rec, j.stamp) {
		n.ahead[j.ref] = j
		return
	}
	if j.rec.IsFinal() && len(j.claims) == 0 && n.jobs[j.ref] == j {
		delete(n.jobs, j.ref)
		delete(n.cancelled, j.ref)
		n.remember(j.ref, j.rec, j.stamp)
	}
}

func (n *Controller) storeClaim(key string, r *records.Claim, stamp uint64) {
	ref, chunk, err := records.ParseClaimKey(key)
	if err != nil {
		return
	}
	j := n.jobs[ref]
	c := n.claims[key]
	if r == nil {
		if c != nil {
			n.unlinkClaim(c)
		}
		return
	}
	if c == nil {
		c = &claim{key: key, ref: ref, chunk: chunk}
		n.claims[key] = c
	}
	// Also when this node has a try of its own under way and another shard's
	// claim arrives: left unattached, the winner's tasks would look like strays
	// to this node and be stopped once it takes that shard over.
	if j != nil && j.rec != nil {
		n.attach(j, c)
	} else {
		if n.orphans[ref] == nil {
			n.orphans[ref] = make(map[string]*claim)
		}
		n.orphans[ref][key] = c
	}
	c.rec, c.stamp = r, stamp
	c.ripe = time.Time{}
	if len(r.Placements) > 0 {
		c.bare = time.Time{}
	}
	n.reindex(c)
	if j != nil && j.chunks > 1 && r.IsComplete() {
		for _, o := range j.claims {
			n.mark(o) // the job may be over
		}
	}
}

func (n *Controller) unlinkClaim(c *claim) {
	delete(n.claims, c.key)
	n.reindex(c)
	if set := n.orphans[c.ref]; set != nil {
		// An empty set that stayed had its job looked up in every pass, for ever.
		if delete(set, c.key); len(set) == 0 {
			delete(n.orphans, c.ref)
		}
	}
	if j := n.jobs[c.ref]; j != nil {
		delete(j.claims, c.chunk)
		if j.rec != nil {
			n.forgetIfOver(j)
		}
	}
}

func (n *Controller) team(name string) *teamUse {
	t := n.teams[name]
	if t == nil {
		t = &teamUse{}
		n.teams[name] = t
	}
	return t
}

const (
	// mostWaves is how often a chunk's placements may fill a value at the most, and
	// wavesWithin for how long, before the job is cut into more chunks.
	mostWaves   = 5
	wavesWithin = 20 * time.Second
)

// wavesOf is how often the placements of a chunk of a job may fill a value.
func (n *Controller) wavesOf(s *protocol.Submission) int {
	return max(1, min(mostWaves, int(wavesWithin/max(n.estimate(s), time.Second))))
}

// chunkSize is how many tasks of a job are claimed together. Gangs, services
// and jobs whose tasks depend on one another's zones are claimed whole, so
// that one record decides where their tasks may go. Other arrays make as few
// chunks as they well can, since each costs its own writes: as many as they have
// copies, or fewer where a chunk is small beside the shards that may claim it.
// On small shards a whole array in one of them waited while others had room.
func (n *Controller) chunkSize(s *protocol.Submission, at []string) int {
	const maxChunks = 24 // finishing a job compares them all
	if s.Shape != protocol.ShapeArray || s.SameZone || s.SpreadZones {
		return s.Tasks
	}
	cpus := math.Inf(1)
	for _, name := range at {
		cpus = min(cpus, n.loads[name].load.CPUs)
	}
	small := n.cfg.RecordLimits().MaxPlacements()
	if s.CPUs > 0 {
		small = int(min(float64(small), cpus/4/s.CPUs))
	}
	// A chunk has no more placements at a time than fit a value: 25,000 tasks of 4 s in
	// two chunks took longer than 400 s beside free room, and where values are small an
	// array of 350 tasks of 25 s ran 138 of them at a time.
	parts := min(max(1, n.pol.Copies, (s.Tasks-1)/(n.wavesOf(s)*n.cfg.RecordLimits().MaxPlacements())+1), maxChunks)
	return min(s.Tasks, max(n.pol.TasksPerChunk, (s.Tasks+parts-1)/parts, small))
}

// counts tells how many tasks of a job are done and running, for display.
func (j *job) counts() (done, running int) {
	for _, c := range j.claims {
		if c.rec != nil {
			done += c.rec.CompletedCount()
			running += len(c.rec.Placements)
		}
	}
	return done, running
}
