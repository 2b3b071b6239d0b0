package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// room is what a machine has free, as one pass sees it.
type room struct {
	host, typ, zone string
	shard           string
	spot            bool
	usable          bool      // settled trouble aside: new tasks may go there
	boots           time.Time // when it should be up, if it is not yet
	cpus, gpus, mem float64
	total           *protocol.MachineType
	m               *replica.Machine // nil: not there yet
	coming          string           // an image that a task placed in this pass brings
	detailed        bool             // ends and victims are known
	// A reservation of EASY backfilling: only what ends by then, or fits
	// beside the head job, may still start here.
	shadow       time.Time
	spareC       float64
	spareG       float64
	spareM       float64
	reservedFor  string
	ends         []replica.Release
	victims      []replica.Victim
	recentErrors map[string]bool
	kept         bool // whole and with cards, kept from arrays without
	keptIdle     bool // the same, from idle arrays
}

const tolerance = 1e-6

// holds tells whether a machine has an image, or has been given work that
// brings it.
func (r *room) holds(image string) bool {
	return r.coming == image || (r.m != nil && r.m.HasImage(image))
}

func (r *room) fits(s *protocol.Submission) bool {
	return r.cpus+tolerance >= s.CPUs && r.gpus+tolerance >= s.GPUs && r.mem+tolerance >= s.MemoryGB
}

// takes tells whether new tasks of a job may go there, room left aside.
func (r *room) takes(s *protocol.Submission, z *zoneRule) bool {
	return r.usable && allowed(s, r.typ, r.zone, r.spot) && z.permits(r.zone)
}

// whole tells whether a machine with cards runs nothing.
func (r *room) whole() bool {
	return r.usable && r.total.GPUs > 0 && r.gpus+tolerance >= r.total.GPUs && r.cpus+tolerance >= r.total.CPUs
}

// keepCards sets some whole machines with cards apart, for jobs that need the
// cards: displacing an array's tasks for each of them throws work away.
// More of them are kept from idle arrays, which may run for as long as they like: a
// gang behind them waits until they have saved, and then for its image.
func keepCards(rooms []*room, count, fromIdle int) {
	for _, r := range rooms {
		if !r.whole() {
			continue
		}
		r.kept, r.keptIdle = count > 0, fromIdle > 0
		count--
		fromIdle--
	}
}

// releaseCards no longer keeps one of those machines in this pass, for an array that has
// waited beside it for too long, and tells whether there was one that takes it.
func releaseCards(s *protocol.Submission, ref string, rooms []*room, z *zoneRule) bool {
	for _, r := range rooms {
		if (r.kept || r.keptIdle) && r.reservedFor == "" && r.takes(s, z) && r.fits(s) && !r.recentErrors[ref] {
			r.kept, r.keptIdle = false, false
			return true
		}
	}
	return false
}

// allowed tells whether a job's tasks may run on such a machine at all.
func allowed(s *protocol.Submission, typ, zone string, spot bool) bool {
	return (len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, typ)) &&
		(s.Zone == "" || s.Zone == zone) && (!spot || s.AllowSpot)
}

// canEver tells whether a task fits an empty machine of the type.
func canEver(s *protocol.Submission, t *protocol.MachineType) bool {
	return t.CPUs+tolerance >= s.CPUs && t.GPUs+tolerance >= s.GPUs && t.MemoryGB+tolerance >= s.MemoryGB
}

// most is the most that any machine has free of each resource.
type most struct{ cpus, gpus, mem float64 }

func mostOf(rooms []*room) (m most) { return m.with(rooms) }

// with takes room into account that was made since.
func (m most) with(rooms []*room) most {
	for _, r := range rooms {
		if r.usable {
			m = most{max(m.cpus, r.cpus), max(m.gpus, r.gpus), max(m.mem, r.mem)}
		}
	}
	return m
}

func (m most) fits(s *protocol.Submission) bool {
	return m.cpus+tolerance >= s.CPUs && m.gpus+tolerance >= s.GPUs && m.mem+tolerance >= s.MemoryGB
}

func (r *room) give(s *protocol.Submission) {
	r.cpus += s.CPUs
	r.gpus += s.GPUs
	r.mem += s.MemoryGB
}

func (r *room) take(s *protocol.Submission) {
	r.cpus -= s.CPUs
	r.gpus -= s.GPUs
	r.mem -= s.MemoryGB
}

// zoneRule says where the next task of a job may go, given all its tasks that
// are or may be on machines, earlier attempts included.
type zoneRule struct {
	use   map[string]int // the job's tasks by zone
	limit int            // most of them in one zone; 0: no limit
	only  string         // the only zone left
}

func newZoneRule(s *protocol.Submission, zones []string) zoneRule {
	z := zoneRule{use: make(map[string]int)}
	for _, zone := range zones {
		z.add(s, zone)
	}
	if s.SpreadZones {
		z.limit = (s.Tasks + 1) / 2
	}
	return z
}

func (z *zoneRule) add(s *protocol.Submission, zone string) {
	z.use[zone]++
	if s.SameZone {
		z.only = zone
	}
}

func (z *zoneRule) permits(zone string) bool {
	return (z.only == "" || z.only == zone) && (z.limit == 0 || z.use[zone] < z.limit)
}

// choose is the machine rule: one that holds the image, else the most free
// room in the job's zone or, for services, in the service's least-used zone.
// It returns the index of the room, or -1.
func choose(s *protocol.Submission, ref string, rooms []*room, z *zoneRule, est time.Duration, now time.Time) int {
	best, bestScore := -1, [4]float64{}
	for i, r := range rooms {
		if !r.takes(s, z) || !r.fits(s) || r.recentErrors[ref] {
			continue
		}
		if r.reservedFor != "" && r.reservedFor != ref && !backfills(s, r, est, now) {
			continue
		}
		if s.GPUs == 0 && s.Shape == protocol.ShapeArray && (r.kept || (r.keptIdle && isIdle(s))) {
			continue
		}
		score := rank(s, r, z)
		if best < 0 || less(score, bestScore) {
			best, bestScore = i, score
		}
	}
	return best
}

func less(a, b [4]float64) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

func rank(s *protocol.Submission, r *room, z *zoneRule) [4]float64 {
	var score [4]float64
	// Work without cards leaves machines with free cards to those that need
	// them, and most of them may not use cheap machines.
	if s.GPUs == 0 && r.gpus > 0 {
		score[0] = 2
		if r.spot {
			score[0] = 1
		}
	}
	holds := r.holds(s.Image)
	if !holds {
		score[1] = 1
	}
	if s.Shape == protocol.ShapeService {
		score[2] = float64(z.use[r.zone])
	} else if s.AllowSpot && !r.spot {
		score[2] = 1
	}
	fill := r.cpus / math.Max(1, r.total.CPUs)
	if holds {
		score[3] = fill // pack where the image is
	} else {
		score[3] = -r.cpus
	}
	return score
}

// backfills tells whether a task may start on a reserved machine without
// delaying the head job.
func backfills(s *protocol.Submission, r *room, est time.Duration, now time.Time) bool {
	if s.Shape != protocol.ShapeService && est > 0 && !now.Add(est).After(r.shadow) {
		return true
	}
	return r.spareC+tolerance >= s.CPUs && r.spareG+tolerance >= s.GPUs && r.spareM+tolerance >= s.MemoryGB
}

// slotAt is room for one task that a machine has at some time.
type slotAt struct {
	r     *room
	at    time.Time // when the room is there
	ready time.Time // when the image is there too
}

// reserve gives a job the machines on which so many of its tasks can start
// together first, the fetch of the image included, and returns them, if there
// are enough, and when.
func reserve(s *protocol.Submission, ref string, rooms []*room, z *zoneRule, need int, now time.Time) (held []*room, start time.Time) {
	slots := make(map[string][]slotAt)
	for _, r := range rooms {
		comes := now
		if !r.usable && !r.boots.IsZero() {
			// Machines that are still booting count: without them the first ones
			// up went to arrays while a gang waited for the last.
			if comes = r.boots; comes.Before(now) {
				comes = now.Add(time.Second)
			}
		} else if !r.usable {
			continue
		}
		// Nor where it has just failed: it may not start there for a while, and a
		// reservation kept everybody else from the machine meanwhile.
		if !allowed(s, r.typ, r.zone, r.spot) || !z.permits(r.zone) || r.reservedFor != "" || !canEver(s, r.total) || r.recentErrors[ref] {
			continue
		}
		zone := ""
		if s.SameZone {
			zone = r.zone
		}
		slots[zone] = slotsOf(s, r, slots[zone], need, comes)
	}
	var best []slotAt
	for _, list := range slots {
		if len(list) < need {
			continue
		}
		slices.SortFunc(list, func(a, b slotAt) int {
			return cmp.Or(a.ready.Compare(b.ready), strings.Compare(a.r.host, b.r.host))
		})
		list = list[:need]
		if end := list[need-1].ready; best == nil || end.Before(start) || (end.Equal(start) && list[0].r.zone < best[0].r.zone) {
			best, start = list, end
		}
	}
	tasks := make(map[*room]int)
	for _, x := range best {
		if tasks[x.r]++; tasks[x.r] == 1 {
			held = append(held, x.r)
		}
	}
	for _, x := range best {
		// The machine's last slot decides, or when the others are ready.
		from := x.at
		if last := start.Add(-x.r.fetch(s)); last.After(from) {
			from = last
		}
		x.r.hold(s, ref, tasks[x.r], from)
	}
	return held, start
}

// hold reserves room for so many tasks of a job from some time on. What is left
// beside them then may be used till the end of days.
func (r *room) hold(s *protocol.Submission, ref string, tasks int, from time.Time) {
	r.reservedFor, r.shadow = ref, from
	k := float64(tasks)
	r.spareC, r.spareG, r.spareM = r.cpus-k*s.CPUs, r.gpus-k*s.GPUs, r.mem-k*s.MemoryGB
	for _, e := range r.ends {
		if !e.At.After(from) {
			r.spareC, r.spareG, r.spareM = r.spareC+e.Spec.CPUs, r.spareG+e.Spec.GPUs, r.spareM+e.Spec.MemoryGB
		}
	}
}

// slotsOf adds the times at which a machine's running tasks will have left
// room for one task, two, and so on, up to so many.
func slotsOf(s *protocol.Submission, r *room, out []slotAt, most int, now time.Time) []slotAt {
	c, g, m, at := r.cpus, r.gpus, r.mem, now
	fetch := r.fetch(s)
	for i, found := 0, 0; found < most; {
		if c+tolerance >= s.CPUs && g+tolerance >= s.GPUs && m+tolerance >= s.MemoryGB {
			out = append(out, slotAt{r, at, at.Add(fetch)})
			c, g, m = c-s.CPUs, g-s.GPUs, m-s.MemoryGB
			found++
			continue
		}
		if i == len(r.ends) {
			break
		}
		e := r.ends[i]
		i++
		c, g, m = c+e.Spec.CPUs, g+e.Spec.GPUs, m+e.Spec.MemoryGB
		if at = e.At; at.Before(now) {
			at = now.Add(time.Second) // overdue
		}
	}
	return out
}

// soonestFetch is the shortest fetch among the machines that may run a job.
func soonestFetch(s *protocol.Submission, rooms []*room, z *zoneRule) time.Duration {
	best := time.Duration(-1)
	for _, r := range rooms {
		if !r.takes(s, z) || !canEver(s, r.total) {
			continue
		}
		if f := r.fetch(s); best < 0 || f < best {
			best = f
		}
	}
	return max(best, 0)
}

// fetch is how long the machine should need to get a job's image.
func (r *room) fetch(s *protocol.Submission) time.Duration {
	if r.holds(s.Image) || r.total.ImagePullGBps <= 0 {
		return 0
	}
	return protocol.Seconds(s.ImageGB / r.total.ImagePullGBps)
}

// eviction is a machine and what is to be stopped there for one more task; no
// victims mean that there is room already.
type eviction struct {
	r       *room
	victims []replica.Victim
}

// displaceFor plans the room for so many tasks that must start together, if all
// of them can have it. The rooms are left as they were.
func displaceFor(s *protocol.Submission, ref string, rooms []*room, z *zoneRule, need int, ask *consent, now time.Time) []eviction {
	var best []eviction
	bestCost := math.Inf(1)
	for _, zone := range zonesIn(s, rooms) {
		try := slices.Clone(rooms)
		ask.reset()
		zr := zoneRule{use: maps.Clone(z.use), limit: z.limit, only: z.only}
		if zone != "" && zr.only == "" {
			zr.only = zone
		}
		var plan []eviction
		cost := 0.0
		for len(plan) < need {
			at := choose(s, ref, try, &zr, 0, now)
			var victims []replica.Victim
			if at < 0 || (!try[at].holds(s.Image) && s.ImageGB > 0) {
				if i, v := displace(s, ref, try, &zr, ask, now); len(v) > 0 && (at < 0 || try[i].holds(s.Image)) {
					at, victims = i, v
				}
			}
			if at < 0 {
				break
			}
			r := own(rooms, try, at)
			for _, v := range victims {
				cost += v.LostWork(now)
				r.give(v.Claim.Spec)
			}
			ask.took(victims)
			r.victims = without(r.victims, victims)
			r.take(s)
			zr.add(s, r.zone)
			plan = append(plan, eviction{rooms[at], victims})
		}
		if len(plan) == need && cost < bestCost {
			best, bestCost = plan, cost
		}
	}
	return best
}

// displaceSome plans room for as many tasks of a unit as can have it, or for all if
// they must start together. The rooms are left as they were.
func displaceSome(u *unit, rooms []*room, z *zoneRule, ask *consent, now time.Time) []eviction {
	if u.together() {
		return displaceFor(u.spec, u.j.ID, rooms, z, u.waiting(), ask, now)
	}
	try := slices.Clone(rooms)
	zr := zoneRule{use: maps.Clone(z.use), limit: z.limit, only: z.only}
	var plan []eviction
	for range min(u.waiting(), mostDisplaced) {
		at, victims := displace(u.spec, u.j.ID, try, &zr, ask, now)
		if len(victims) == 0 {
			break
		}
		r := own(rooms, try, at)
		for _, v := range victims {
			r.give(v.Claim.Spec)
		}
		ask.took(victims)
		r.victims = without(r.victims, victims)
		r.take(u.spec)
		r.hold(u.spec, u.j.ID, 0, now)
		zr.add(u.spec, r.zone)
		plan = append(plan, eviction{rooms[at], victims})
	}
	return plan
}

// own gives a plan a room of its own to change. To copy all of them for each plan was
// a sixth of the processor time of a day on which services displace arrays.
func own(rooms, try []*room, at int) *room {
	if try[at] == rooms[at] {
		r := *rooms[at]
		try[at] = &r
	}
	return try[at]
}

// mostDisplaced bounds the tasks that one pass makes room for.
const mostDisplaced = 16

// zonesIn lists the zones to try for a job that must stay in one; else "".
func zonesIn(s *protocol.Submission, rooms []*room) []string {
	if !s.SameZone {
		return []string{""}
	}
	var zones []string
	for _, r := range rooms {
		if !slices.Contains(zones, r.zone) {
			zones = append(zones, r.zone)
		}
	}
	return zones
}

func without(list, out []replica.Victim) []replica.Victim {
	return slices.DeleteFunc(slices.Clone(list), func(x replica.Victim) bool {
		return slices.ContainsFunc(out, func(v replica.Victim) bool { return v.Claim == x.Claim && v.Task == x.Task })
	})
}

// displace chooses the machine where making room for one task of higher
// priority throws the least work away, and the tasks to stop there.
func displace(s *protocol.Submission, ref string, rooms []*room, z *zoneRule, ask *consent, now time.Time) (int, []replica.Victim) {
	var best []replica.Victim
	at := -1
	bestCost := math.Inf(1)
	for i, r := range rooms {
		if !r.takes(s, z) || r.recentErrors[ref] || (r.reservedFor != "" && r.reservedFor != ref) {
			continue
		}
		if !canEver(s, r.total) || (s.GPUs == 0 && r.total.GPUs > 0 && r.gpus > 0) {
			continue
		}
		c, g, m, cost := r.cpus, r.gpus, r.mem, 0.0
		var out []replica.Victim
		for _, v := range r.victims {
			if c+tolerance >= s.CPUs && g+tolerance >= s.GPUs && m+tolerance >= s.MemoryGB {
				break
			}
			if !ask.may(v.Claim.Spec, out) {
				continue
			}
			c, g, m, cost = c+v.Claim.Spec.CPUs, g+v.Claim.Spec.GPUs, m+v.Claim.Spec.MemoryGB, cost+v.LostWork(now)
			out = append(out, v)
		}
		if c+tolerance < s.CPUs || g+tolerance < s.GPUs || m+tolerance < s.MemoryGB || len(out) == 0 {
			continue
		}
		if !r.holds(s.Image) {
			cost += 1000 // a fetch delays the start
		}
		if cost < bestCost {
			at, best, bestCost = i, out, cost
		}
	}
	return at, best
}
