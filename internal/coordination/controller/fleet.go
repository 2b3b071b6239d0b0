package controller

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

type fleetState struct {
	counter    int
	listed     time.Time
	typesAt    time.Time
	returnBusy bool
	bareBusy   bool // machines are being returned without a record
}

// cloudLoop keeps machine types and the machine list up to date, and carries
// out recorded returns.
func (n *Controller) cloudLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		now := time.Now()
		n.shareCloud()
		needTypes := len(n.view.MachineTypes) == 0 || now.Sub(n.fleet.typesAt) > 30*time.Second
		needList := n.view.Loaded && len(n.view.MachineTypes) > 0 && now.Sub(n.fleet.listed) > max(10*time.Second, n.cfg.CloudLimits.ListLag)
		hosts := n.toReturn(now)
		n.mu.Unlock()
		switch {
		case len(hosts) > 0:
			// First of all: toReturn marked them as being returned, and a mark
			// without the call would hold up every later return for good.
			go n.returnHosts(ctx, hosts)
		case needTypes:
			n.fetchTypes(ctx)
		case needList:
			n.listMachines(ctx)
		}
		n.pause(ctx, 150*time.Millisecond+37*time.Nanosecond)
	}
}

// shareCloud divides the cloud's calls: half of them for the leader, who hires
// for all, the rest for the returns and lists of every node.
func (n *Controller) shareCloud() {
	part := 0.4 / float64(max(1, n.cfg.NodeCount))
	if n.isLeader() {
		part += 0.5
	}
	n.cloud.SetLimit(rate.Limit(n.cfg.CloudLimits.RequestRate * part))
}

func (n *Controller) fetchTypes(ctx context.Context) {
	if n.cloud.Wait(ctx) != nil {
		return
	}
	var out protocol.MachineTypes
	status, err := n.call(ctx, n.cfg.CloudAddr, "GET", protocol.PathMachineTypes, nil, &out, 4*time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil || status != 200 || len(out.Types) == 0 {
		n.log.Debug("machine types", "status", status, "err", err)
		if len(n.view.MachineTypes) > 0 {
			n.fleet.typesAt = time.Now().Add(-20 * time.Second)
		}
		return
	}
	n.fleet.typesAt = time.Now()
	for _, s := range n.view.Shards {
		for _, m := range s.Machines {
			m.Capacity.Stale = true
		}
	}
	n.view.MachineTypes = make(map[string]*protocol.MachineType, len(out.Types))
	for i := range out.Types {
		n.view.MachineTypes[out.Types[i].Name] = &out.Types[i]
	}
}

// returnWithin bounds the time for which a decision to return a machine waits to
// be recorded: one that waited for an outage to end took away machines that had
// long been heard again.
const returnWithin = 4 * time.Second

// returnMachine records that a machine goes back. The record is final: from
// then on nothing is placed there, whoever owns the shard.
func (n *Controller) returnMachine(s *replica.Shard, m *replica.Machine) {
	if m.Lifecycle.Returning || m.Record.State != "" || s.FencingToken == 0 {
		return
	}
	m.Lifecycle.Returning = true
	rec := m.Record
	rec.State = records.MachineReturning
	n.commit(kv.PriorityClaim, []kv.Compare{{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, {Key: records.MachinePrefix + m.Host, Version: m.Version}},
		[]kv.Op{{Key: records.MachinePrefix + m.Host, Value: &rec}}, returnWithin, func(error) { m.Lifecycle.Returning = false })
}

// toReturn lists the machines whose return is recorded and not carried out.
func (n *Controller) toReturn(now time.Time) []string {
	var hosts []string
	if !n.view.Loaded || n.fleet.returnBusy {
		return nil
	}
	for _, host := range slices.Sorted(maps.Keys(n.view.Returns)) {
		m := n.view.Returns[host]
		s := n.view.Shards[m.Record.Shard]
		switch {
		case !n.view.IsActive(s) || !now.After(m.Lifecycle.ReturnRetryAt):
		case m.Lifecycle.Gone:
			m.Lifecycle.ReturnRetryAt = now.Add(5 * time.Second)
			n.recordGone(s, m)
		case len(hosts) < maxReturn:
			hosts = append(hosts, m.Host)
		}
	}
	if len(hosts) > 0 {
		n.fleet.returnBusy = true
	}
	return hosts
}

// recordGone spares the shard's next owner to return a machine again, which
// would prove the same: there is no hurry.
func (n *Controller) recordGone(s *replica.Shard, m *replica.Machine) {
	rec := m.Record
	rec.State = records.MachineGone
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, {Key: records.MachinePrefix + m.Host, Version: m.Version}},
		[]kv.Op{{Key: records.MachinePrefix + m.Host, Value: &rec}}, 20*time.Second, func(error) {})
}

// maxReturn is the most machines that the cloud takes back in one call.
const maxReturn = 100

// askReturn asks the cloud to take machines back.
func (n *Controller) askReturn(ctx context.Context, hosts []string) (int, error) {
	if err := n.cloud.Wait(ctx); err != nil {
		return 0, err
	}
	return n.call(ctx, n.cfg.CloudAddr, "POST", protocol.PathReturnMachines, protocol.HostList{Hosts: hosts}, nil, 4*time.Second)
}

// provedGone notes that the cloud has taken a machine back: it and everything
// on it are gone.
func (n *Controller) provedGone(m *replica.Machine) {
	m.Lifecycle.Gone = true
	n.view.Shard(m.Record.Shard).Changed = true
	for _, p := range m.Use.Slots {
		n.view.MarkDirty(p.Claim)
	}
}

func (n *Controller) returnHosts(ctx context.Context, hosts []string) {
	status, err := n.askReturn(ctx, hosts)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.returnBusy = false
	for _, host := range hosts {
		m := n.view.Machines[host]
		s := n.view.Shards[m.Record.Shard]
		m.Lifecycle.ReturnRetryAt = time.Now().Add(time.Second)
		if err == nil && status == 200 {
			m.Lifecycle.ReturnRetryAt = time.Now().Add(25 * time.Second) // the record's turn
		}
		if err != nil || status != 200 || !n.view.IsActive(s) || m.Record.State != records.MachineReturning {
			continue
		}
		n.provedGone(m)
		n.recordGone(s, m)
	}
	n.log.Info("machines returned", "hosts", strings.Join(hosts, ","), "status", status, "err", err)
}

// listMachines finds machines that failed, and some that nobody expected.
func (n *Controller) listMachines(ctx context.Context) {
	from := ""
	for range 20 {
		if n.cloud.Wait(ctx) != nil {
			return
		}
		var out protocol.MachineList
		status, err := n.call(ctx, n.cfg.CloudAddr, "GET", protocol.PathMachines+"?most=500&from="+from, nil, &out, 4*time.Second)
		n.mu.Lock()
		n.fleet.listed = time.Now()
		if err == nil && status == 200 {
			for _, h := range out.Hosts {
				n.listed(h)
				from = h.Host
			}
		}
		n.mu.Unlock()
		if err != nil || status != 200 || !out.Truncated {
			return
		}
	}
}

func (n *Controller) listed(h protocol.ListedMachine) {
	m := n.view.Machines[h.Host]
	if m != nil {
		m.ListedAddress = h.Address
	}
	switch {
	case m == nil:
		// A hire whose answer was lost shows up here. A younger one may still
		// be about to be recorded by the node that hired it.
		if n.isLeader() && protocol.Seconds(h.AgeS) > 10*time.Second+2*n.cfg.CloudLimits.ListLag {
			n.adopt(h.Host, h.Type, h.Zone, h.Spot)
		}
	case h.Phase == protocol.MachineFailed && m.Record.State == "":
		if s := n.view.Shards[m.Record.Shard]; n.view.IsActive(s) {
			n.log.Info("machine failed", "host", h.Host)
			n.returnMachine(s, m)
		}
	}
}

// fleetLoop works off the difference between the machines there should be and
// those there are: owners return what is idle, the leader hires.
func (n *Controller) fleetLoop(ctx context.Context) {
	for n.pause(ctx, 700*time.Millisecond+41*time.Nanosecond) {
		n.mu.Lock()
		if n.view.Loaded && len(n.view.MachineTypes) > 0 {
			now := time.Now()
			for _, name := range n.view.ShardNames() {
				if s := n.view.Shards[name]; n.view.IsActive(s) {
					n.returnIdle(s, now)
					n.consolidate(s, now)
				}
			}
			if n.isLeader() {
				n.adoptKnown(now)
				n.retryHires(now)
				n.hireFor(now)
				n.tidyGroups()
			}
		}
		n.mu.Unlock()
	}
}

// returnIdle gives back machines that have had nothing to do for a while and
// are not part of the warm room, those that never came up, and sick ones.
func (n *Controller) returnIdle(s *replica.Shard, now time.Time) {
	held := make(map[string]bool)
	services := 0.0
	for c := range s.Claims {
		if c.Record != nil && c.Spec != nil && c.Spec.Shape == protocol.ShapeService {
			services += c.Spec.CPUs * float64(len(c.Record.Placements))
		}
	}
	for _, g := range n.view.GangReservations {
		if h := g.Holds[s.Name]; h != nil && h.Version != 0 && g.Version != 0 {
			for host := range h.Record.TasksByHost {
				held[host] = true // held for a wide job about to start
			}
		}
	}
	wanted := n.typesWanted(s, now)
	spare := 0.0
	rooms := n.rooms(s, now)
	for _, r := range rooms {
		if r.usable && !r.spot && r.total.GPUs == 0 {
			spare += r.cpus
		}
	}
	keep := services * n.pol.WarmShare
	for _, m := range s.Machines {
		if m.Lifecycle.Returning {
			continue
		}
		t := n.view.MachineType(m.Record.Type)
		if m.Agent.Heartbeat == nil {
			age := m.Age(now)
			if age > n.boots.Expired(m.BootKind(), t.BootTime(), now) && now.Sub(m.AdoptedAt) > t.BootTime()+n.cfg.Workers.LeaseDuration {
				n.log.Info("machine never came up, returned", "host", m.Host, "type", m.Record.Type, "zone", m.Record.Zone, "age", age.Round(time.Second))
				n.returnMachine(s, m)
			}
			continue
		}
		inDemand := wanted[replica.MachineKind{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}] && !m.Quarantine.Active && m.Lifecycle.DrainingSince.IsZero()
		if len(m.Use.Slots) > 0 || inDemand || held[m.Host] || n.strays(m) || now.Sub(m.AdoptedAt) < n.pol.IdleMachineTTL {
			m.Lifecycle.IdleSince = time.Time{}
			continue
		}
		if m.Lifecycle.IdleSince.IsZero() {
			m.Lifecycle.IdleSince = now
		}
		if (m.Quarantine.Active && now.Sub(m.Quarantine.ChangedAt) > sickFor) || !m.Lifecycle.DrainingSince.IsZero() {
			n.returnMachine(s, m)
			continue
		}
		if now.Sub(m.Lifecycle.IdleSince) < n.pol.IdleMachineTTL {
			continue
		}
		if !m.Record.Spot && t.GPUs == 0 {
			if spare-t.CPUs < keep {
				continue
			}
			spare -= t.CPUs
		}
		n.log.Info("returning an idle machine", "host", m.Host)
		n.returnMachine(s, m)
	}
}

// typesWanted tells which kinds of machine the shard's queue could use. While
// the state service is short of budget, work waits beside idle machines; to
// return them and hire others just after would be paid twice.
func (n *Controller) typesWanted(s *replica.Shard, now time.Time) map[replica.MachineKind]bool {
	wanted := make(map[replica.MachineKind]bool)
	queue := n.queueOf(s, now)
	for kind := range s.Kinds {
		if t := n.view.MachineTypes[kind.Type]; t != nil {
			wanted[kind] = slices.ContainsFunc(queue, func(u *unit) bool {
				return canEver(u.spec, t) && allowed(u.spec, kind.Type, kind.Zone, kind.Spot) && !n.overLimit(u)
			})
		}
	}
	return wanted
}

const (
	consolidateGap = 10 * time.Second
	weighGap       = 2 * time.Second // after finding no machine worth emptying
	drainPatience  = 25 * time.Second
)

// consolidate empties the machine whose price is least used, when all that
// runs there are replicas that other machines of the shard can take at once,
// their image at hand. Replicas run for hours; without this a few of them
// keep a costly machine long after the work it was hired for.
func (n *Controller) consolidate(s *replica.Shard, now time.Time) {
	busy := false
	for _, m := range s.Machines {
		if m.Lifecycle.DrainingSince.IsZero() {
			continue
		}
		if now.Sub(m.Lifecycle.DrainingSince) > drainPatience {
			m.Lifecycle.DrainingSince = time.Time{}
			continue
		}
		n.moveReplicas(m, now)
		busy = busy || m.Record.State == ""
	}
	if busy || now.Sub(s.DrainedAt) < consolidateGap || now.Sub(s.ConsolidationCheckedAt) < weighGap || now.Sub(s.OwnedSince) < 15*time.Second || len(n.queueOf(s, now)) > 0 {
		return
	}
	s.ConsolidationCheckedAt = now
	rooms := n.rooms(s, now)
	n.detail(rooms, now)
	spare, keep := 0.0, 0.0
	on := make(map[string][]replica.Victim)
	movable := make(map[string]bool)
	for _, r := range rooms {
		on[r.host] = r.victims
		if r.usable {
			spare += r.cpus
		}
		for _, v := range r.victims {
			// What is left must hold the warm room and these replicas too.
			keep += v.Claim.Spec.CPUs * n.pol.WarmShare
		}
		movable[r.host] = r.usable && len(r.victims) > 0 && len(r.ends) == 0 && r.m.RunsOnlyReplicas()
	}
	slices.SortFunc(rooms, func(a, b *room) int { return cmp.Compare(b.wasted(), a.wasted()) })
	for _, from := range rooms {
		if !movable[from.host] || from.wasted() < 0.6*from.price() || spare-from.cpus < keep {
			continue
		}
		if !n.fitElsewhere(from, on[from.host], rooms, now) {
			continue
		}
		n.log.Info("emptying a machine", "host", from.host, "replicas", len(on[from.host]))
		from.m.Lifecycle.DrainingSince = now
		s.DrainedAt = now
		n.moveReplicas(from.m, now)
		n.poke()
		return
	}
}

// moveReplicas stops what a machine being emptied still runs, one replica of
// each service at a time, so that a service goes on while it moves.
func (n *Controller) moveReplicas(m *replica.Machine, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(m.Use.Slots)) {
		p := m.Use.Slots[name]
		if p == nil {
			continue
		}
		c := p.Claim
		if c.Record == nil || c.Pending != nil || c.Spec == nil || len(c.Evictions) > 0 || len(c.Record.Placements) < c.Record.TaskCount {
			continue
		}
		n.evict(c, p.Task, now)
		n.flush(n.view.Shards[m.Record.Shard])
	}
}

// price is what a machine costs an hour.
func (r *room) price() float64 { return offer{r.total, r.zone, r.spot, r.shard}.price() }

// wasted is the part of a machine's price that buys nothing.
func (r *room) wasted() float64 {
	return r.price() * max(0, r.cpus) / max(r.total.CPUs, 1)
}

// fitElsewhere tries the moves on a copy of the rooms.
func (n *Controller) fitElsewhere(from *room, tasks []replica.Victim, rooms []*room, now time.Time) bool {
	var others []*room
	for _, r := range rooms {
		if r != from {
			c := *r
			others = append(others, &c)
		}
	}
	// Moves of one service follow one another: each starts from where the
	// earlier ones went, or a spread service could end with no zone left.
	zones := make(map[*replica.Claim][]string)
	for _, v := range tasks {
		if _, ok := zones[v.Claim]; !ok {
			zones[v.Claim] = n.view.ZonesOf(v.Claim)
		}
		if i := slices.Index(zones[v.Claim], from.zone); i >= 0 {
			zones[v.Claim] = slices.Delete(zones[v.Claim], i, i+1)
		}
		z := newZoneRule(v.Claim.Spec, zones[v.Claim])
		i := choose(v.Claim.Spec, v.Claim.JobID, others, &z, 0, now)
		if i < 0 || !others[i].holds(v.Claim.Spec.Image) {
			return false
		}
		zones[v.Claim] = append(zones[v.Claim], others[i].zone)
		others[i].take(v.Claim.Spec)
	}
	return true
}

func (n *Controller) strays(m *replica.Machine) bool {
	for _, t := range m.Agent.Tasks {
		if t.Phase != protocol.TaskExited {
			return true
		}
	}
	return false
}

// offer is a kind of machine that the cloud may rent.
type offer struct {
	typ   *protocol.MachineType
	zone  string
	spot  bool
	shard string // where it must go; empty: where there is least
}

func (o offer) key() string { return o.typ.Name + "/" + o.zone + "/" + strconv.FormatBool(o.spot) }

func (o offer) price() float64 {
	if o.spot {
		return o.typ.SpotPrice
	}
	return o.typ.Price
}

// want is work without a machine: count tasks like spec.
type want struct {
	spec  *protocol.Submission
	count int
	zone  string   // for warm room: where it should be
	shard string   // the shard that holds the claim; only its machines can help
	taken []string // zones of the unit's tasks that have machines
}

// hireFor hires for the work that neither free nor coming room can take.
func (n *Controller) hireFor(now time.Time) {
	supply := n.supply(now)
	wants, arrays := n.wants(now)
	var need []offer
	for _, w := range wants {
		need = append(need, n.fill(&supply, w, now, math.Inf(1))...)
	}
	others, idle := splitIdle(arrays)
	budget, forIdle := n.arrayBudget(others, idle, supply, now)
	for i, w := range append(others, idle...) {
		if i == len(others) {
			budget = forIdle
		}
		if budget <= 0 && n.stranded(w, supply) {
			got := n.fill(&supply, w, now, tolerance) // one machine
			need = append(need, got...)
			continue
		}
		got := n.fill(&supply, w, now, budget)
		for _, o := range got {
			budget -= o.typ.CPUs
		}
		need = append(need, got...)
	}
	groups := make(map[string]*records.Provision)
	var order []*records.Provision
	for _, o := range need {
		shard := o.shard
		if shard == "" {
			shard = n.smallestShard(o.zone, o.typ.Name)
		}
		if shard == "" {
			return
		}
		// One call and one record for all machines of a kind, whatever their
		// shards: both budgets are too small for one of each for every machine.
		g := groups[o.key()]
		if g == nil || g.Count == maxHire {
			n.fleet.counter++
			name := fmt.Sprintf("%s-%d-%d", n.cfg.NodeName, n.boot.UnixMilli(), n.fleet.counter)
			g = &records.Provision{ProvisionRequest: protocol.ProvisionRequest{Name: name, Type: o.typ.Name, Zone: o.zone, Spot: o.spot}, RequestedAtMs: now.UnixMilli()}
			groups[o.key()] = g
			order = append(order, g)
			// Counted by smallestShard from now on.
			n.view.Provisions[name] = &replica.Provision{Name: name, Busy: true}
		}
		g.Count++
		g.Allocate(shard)
		n.view.Provisions[g.Name].Record = *g
	}
	for _, g := range order {
		n.recordHire(g)
	}
}

// maxHire is the most machines that the cloud rents in one call.
const maxHire = 50

// recordHire writes a hire's name down before it is sent.
func (n *Controller) recordHire(rec *records.Provision) {
	name := rec.Name
	n.log.Info("hiring", "name", name, "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot, "count", rec.Count, "parts", rec.Allocations)
	// Hires are few and everything waits for the machines, so they go first.
	n.commit(kv.PriorityLease, []kv.Compare{{Key: records.LeaderKey, Version: n.leadership.version}, {Key: records.ProvisionPrefix + name, Version: 0}},
		[]kv.Op{{Key: records.ProvisionPrefix + name, Value: rec}}, 5*time.Second, func(err error) {
			h := n.view.Provisions[name]
			if err != nil {
				if h != nil && h.Version == 0 {
					delete(n.view.Provisions, name)
				}
				return
			}
			n.sendHire(h)
		})
}

// retryHires repeats recorded hires without an answer, those of an earlier
// leader too: the same name rents nothing twice.
func (n *Controller) retryHires(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.view.Provisions)) {
		switch h := n.view.Provisions[name]; {
		case h.Version == 0 || h.Busy || !now.After(h.RetryAt):
		case h.AnsweredHosts != nil:
			h.Busy = true
			n.hired(h, h.AnsweredHosts)
		default:
			n.sendHire(h)
		}
	}
}

func (n *Controller) sendHire(h *replica.Provision) {
	if h == nil || h.Busy {
		return
	}
	h.Busy = true
	rec, ctx := h.Record, n.ctx
	turn := n.cloud.Reserve() // here and not below: those sent at one instant go in order
	go func() {
		var out protocol.HostList
		var status int
		var err error
		if delay := turn.Delay(); delay > 0 && !pause(ctx, delay) {
			turn.Cancel()
			err = ctx.Err()
		}
		if err == nil {
			status, err = n.call(ctx, n.cfg.CloudAddr, "POST", protocol.PathMachines, rec.ProvisionRequest, &out, 5*time.Second)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		h.RetryAt = time.Now().Add(time.Second)
		switch {
		case err == nil && status == 200:
			n.hired(h, out.Hosts)
		case err == nil && (status == 503 || status == 400):
			o := rec.Type + "/" + rec.Zone + "/" + strconv.FormatBool(rec.Spot)
			n.refused[o] = time.Now().Add(n.pol.RefusedOfferPause)
			n.log.Info("hire refused", "kind", o, "status", status)
			n.dropHire(h)
		default:
			h.Busy = false
		}
	}()
}

func (n *Controller) dropHire(h *replica.Provision) {
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: records.ProvisionPrefix + h.Name, Version: h.Version}}, []kv.Op{{Key: records.ProvisionPrefix + h.Name}}, 10*time.Second,
		func(err error) { h.Busy = false })
}

// hired records the machines of a hire, all in one record. Only the leader
// does: it alone knows which machines have been adopted meanwhile, and none may
// be put into two shards.
func (n *Controller) hired(h *replica.Provision, hosts []string) {
	rec := h.Record
	if len(hosts) < rec.Count {
		n.refused[rec.Type+"/"+rec.Zone+"/"+strconv.FormatBool(rec.Spot)] = time.Now().Add(n.pol.RefusedOfferPause)
	}
	rec.Hosts = nil
	if n.view.Revision < h.Version {
		// This version may be that of an adoption, read ahead of the watch, and the
		// machines adopted with it are not in the cache yet: one was put into two shards.
		h.AnsweredHosts, h.Busy, h.RetryAt = hosts, false, time.Now()
		return
	}
	for _, host := range hosts {
		if n.view.Machines[host] == nil && !n.unknown[host].busy {
			rec.Hosts = append(rec.Hosts, host)
		}
	}
	if !n.isLeader() {
		h.Busy = false // the next leader asks again by the same name
		return
	}
	if len(rec.Hosts) == 0 {
		n.dropHire(h)
		return
	}
	n.commit(kv.PriorityLease, []kv.Compare{{Key: records.LeaderKey, Version: n.leadership.version}, {Key: records.ProvisionPrefix + h.Name, Version: h.Version}},
		[]kv.Op{{Key: records.ProvisionPrefix + h.Name, Value: &rec}}, 10*time.Second, func(error) { h.Busy = false })
}

// tidyGroups drops the records whose machines are all gone, each with a record
// of its own that says so.
func (n *Controller) tidyGroups() {
	for _, name := range slices.Sorted(maps.Keys(n.view.Groups)) {
		g := n.view.Groups[name]
		if slices.ContainsFunc(g.Hosts, func(host string) bool { return n.view.Machines[host].Record.State != records.MachineGone }) {
			continue
		}
		key := records.ProvisionPrefix + name
		delete(n.view.Groups, name) // until it is seen again
		n.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: g.Version}}, []kv.Op{{Key: key}}, 5*time.Second, func(err error) {
			if err != nil && n.view.Versions[key] == g.Version {
				n.view.Groups[name] = g
			}
		})
		return
	}
}

// supply is the room of all machines, there or coming, of every shard.
func (n *Controller) supply(now time.Time) []*room {
	var out []*room
	for _, name := range n.view.ShardNames() {
		// Only the owner sees that a machine fails its tasks. The leader counted
		// the room of such machines on, and hired nothing for what waited for it.
		barred := n.loads[name].Load.ExcludedHosts
		for _, m := range n.view.Shards[name].Machines {
			t := n.view.MachineTypes[m.Record.Type]
			if t == nil || m.Quarantine.Active || m.Lifecycle.Returning || !m.Agent.PreemptionNoticeAt.IsZero() || slices.Contains(barred, m.Host) || n.zoneCut(m.Record.Zone, now) {
				continue
			}
			r := &room{m: m, host: m.Host, typ: m.Record.Type, zone: m.Record.Zone, spot: m.Record.Spot, total: t, shard: m.Record.Shard}
			r.cpus, r.gpus, r.mem = n.view.FreeCapacity(m)
			out = append(out, r)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.view.Provisions)) {
		h := n.view.Provisions[name]
		if t := n.view.MachineTypes[h.Record.Type]; t != nil {
			for _, p := range h.Record.Allocations {
				for range p.Count {
					out = append(out, newRoom(offer{t, h.Record.Zone, h.Record.Spot, p.Shard}))
				}
			}
		}
	}
	return out
}

func newRoom(o offer) *room {
	return &room{typ: o.typ.Name, shard: o.shard, zone: o.zone, spot: o.spot, total: o.typ, cpus: o.typ.CPUs, gpus: o.typ.GPUs, mem: o.typ.MemoryGB}
}

// wants lists the work without machines, urgent first, and arrays apart: an
// array may wait a little for running tasks to end.
func (n *Controller) wants(now time.Time) (urgent, arrays []want) {
	services := 0
	var service *protocol.Submission
	for _, j := range n.view.Jobs {
		if j.Record == nil || j.Record.Spec == nil || j.Record.IsFinal() {
			continue
		}
		spec := j.Spec()
		if spec.Shape == protocol.ShapeService && (service == nil || spec.JobID < service.JobID) {
			service = spec // any will do, but the same one every time
		}
		free := math.MaxInt
		if n.limited(spec) {
			// No machines for what the team's limit keeps waiting anyway.
			free = n.allowance(spec)
		}
		for i := range j.Chunks {
			u := unit{j: j, c: n.view.ClaimOf(j, i), chunk: i, spec: spec}
			w := want{spec: spec, count: min(u.waiting(), free, 2000)}
			if u.c != nil && u.c.Record != nil {
				w.shard, w.taken = u.c.Record.Shard, n.view.ZonesOf(u.c)
				if spec.Shape == protocol.ShapeService {
					services += len(u.c.Record.Placements)
				}
			}
			if w.count <= 0 || now.Before(j.NotBefore) || j.OnProbation(now) {
				continue
			}
			if u.together() && w.shard == "" && len(j.Record.Shards) > 0 {
				w.shard = j.Record.Shards[0] // a gang needs its machines side by side
			}
			free -= w.count
			if spec.Shape == protocol.ShapeArray {
				arrays = append(arrays, w)
			} else {
				urgent = append(urgent, w)
			}
		}
	}
	byPrio := func(a, b want) int {
		if a.spec.Priority() != b.spec.Priority() {
			return b.spec.Priority() - a.spec.Priority()
		}
		return strings.Compare(a.spec.JobID, b.spec.JobID)
	}
	// Stable: a job's chunks stay in their order.
	slices.SortStableFunc(urgent, byPrio)
	slices.SortStableFunc(arrays, byPrio)
	if service != nil && n.pol.WarmShare > 0 {
		warm := int(math.Ceil(float64(services)*n.pol.WarmShare)) + 2
		like := *service
		like.SameZone, like.SpreadZones, like.Zone = false, false, ""
		like.AllowSpot = false // idle cheap machines are not kept as warm room, so they would come and go for ever
		zones := n.cfg.Zones
		for i, zone := range zones {
			if n.zoneCut(zone, now) {
				continue // what is rented there could not be reached
			}
			part := warm / len(zones)
			if i < warm%len(zones) {
				part++
			}
			urgent = append(urgent, want{spec: &like, count: part, zone: zone})
		}
	}
	return urgent, arrays
}

// arrayBudget is how many more CPUs the waiting arrays deserve: enough to work
// off each in the time that its objectives leave it.
func (n *Controller) arrayBudget(others, idle []want, supply []*room, now time.Time) (forOthers, forIdle float64) {
	sum := func(arrays []want) (need float64) {
		for _, w := range arrays {
			est := max(n.estimate(w.spec), time.Second)
			need += float64(w.count) * w.spec.CPUs * est.Seconds() / n.arrayTime(w, est, now).Seconds()
		}
		return need
	}
	need, idleNeed := sum(others), sum(idle)
	if need+idleNeed == 0 {
		return 0, 0
	}
	have, warm, total := 0.0, 0.0, 0.0
	// Machines with cards do not count: work that needs the cards would find
	// them full of arrays.
	for _, r := range supply {
		total += r.total.CPUs
		if r.total.GPUs == 0 {
			have += max(0, r.cpus)
		}
	}
	for _, c := range n.view.Claims {
		if c.Record == nil || c.Spec == nil {
			continue
		}
		switch cpus := float64(len(c.Record.Placements)) * c.Spec.CPUs; c.Spec.Shape {
		case protocol.ShapeArray:
			have += cpus
		case protocol.ShapeService:
			warm += cpus
		}
	}
	warm *= n.pol.WarmShare // once: a sum of rounded products depends on the order
	most := n.pol.BestEffortProvisionShare * total
	if most > 0 {
		// Of a small fleet the part is less than a machine, and none would ever be rented.
		least := math.Inf(1)
		for _, t := range n.view.MachineTypes {
			least = min(least, t.CPUs)
		}
		most = max(most, least)
	}
	return placement.SplitArrayDemand(need, idleNeed, have, warm, most)
}

// arrayTime is the time in which an array should be worked off: array_wait, or
// what its deadline leaves once new machines are up, with a margin. Without a
// deadline there is no waiting on purpose: machines hired late for the sake of
// the last objective that could still be met made every array later in a day
// with less capacity.
func (n *Controller) arrayTime(w want, est time.Duration, now time.Time) time.Duration {
	if isIdle(w.spec) {
		return max(n.pol.BestEffortWait, est)
	}
	if w.spec.Deadline() == 0 {
		return max(n.pol.ArrayWait, est)
	}
	boot := time.Duration(0)
	for _, t := range n.view.MachineTypes {
		if canEver(w.spec, t) && (boot == 0 || t.BootTime() < boot) {
			boot = t.BootTime()
		}
	}
	left := n.view.Jobs[w.spec.JobID].SubmittedAt().Add(w.spec.Deadline()).Sub(now) - boot
	return max(left*7/10-est, n.pol.ArrayWait, est)
}

// stranded tells that no machine, there or coming, could ever run a task of an
// array's: none is of a kind that may, or replicas, which do not end, leave too
// little of it. The budget counts room of every shard and kind alike, so that arrays
// which only some of it can take, those with cards or with their chunk in a
// shard that has lost its machines, would wait for ever beside it.
func (n *Controller) stranded(w want, supply []*room) bool {
	zones := newZoneRule(w.spec, w.taken)
	return !slices.ContainsFunc(supply, func(r *room) bool {
		if !allowed(w.spec, r.typ, r.zone, r.spot) || !zones.permits(r.zone) || (w.shard != "" && r.shard != "" && w.shard != r.shard) {
			return false
		}
		empty := room{cpus: r.total.CPUs, gpus: r.total.GPUs, mem: r.total.MemoryGB}
		if r.m != nil {
			for _, p := range r.m.Use.Slots {
				if p.Claim.Spec != nil && p.Claim.Spec.Shape == protocol.ShapeService {
					empty.take(p.Claim.Spec)
				}
			}
		}
		return empty.fits(w.spec)
	})
}

// fill puts a want into the supply and returns the machines to hire for what
// is left, at most about budget CPUs of them.
func (n *Controller) fill(supply *[]*room, w want, now time.Time, budget float64) []offer {
	var hires []offer
	used := 0.0
	zones := newZoneRule(w.spec, w.taken)
	next := 0 // room that did not do for a task does not do for the next one either
	for i := 0; i < w.count; i++ {
		var at *room
		for ; next < len(*supply); next++ {
			r := (*supply)[next]
			if r.fits(w.spec) && allowed(w.spec, r.typ, r.zone, r.spot) && zones.permits(r.zone) && (w.zone == "" || w.zone == r.zone) &&
				(w.shard == "" || r.shard == "" || w.shard == r.shard) {
				at = r
				break
			}
		}
		if at == nil {
			o, ok := n.bestOffer(w, w.count-i, &zones, now)
			if !ok || used >= budget || len(hires) >= 50 {
				break
			}
			used += o.typ.CPUs
			hires = append(hires, o)
			at = newRoom(o)
			*supply = append(*supply, at)
		}
		at.take(w.spec)
		zones.add(w.spec, at.zone)
	}
	return hires
}

// bestOffer is the kind of machine that runs so many tasks at the least cost.
func (n *Controller) bestOffer(w want, count int, zones *zoneRule, now time.Time) (offer, bool) {
	var best offer
	bestCost := math.Inf(1)
	names := make([]string, 0, len(n.view.MachineTypes))
	for name := range n.view.MachineTypes {
		names = append(names, name)
	}
	slices.Sort(names)
	byZone := make(map[string]int)
	for _, s := range n.view.Shards {
		for k, count := range s.Kinds {
			byZone[k.Zone] += count
		}
	}
	for _, name := range names {
		t := n.view.MachineTypes[name]
		if !canEver(w.spec, t) {
			continue
		}
		for _, zone := range t.Zones {
			if n.zoneCut(zone, now) {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := offer{t, zone, spot, w.shard}
				if !allowed(w.spec, name, zone, spot) || !zones.permits(zone) || (w.zone != "" && w.zone != zone) || now.Before(n.refused[o.key()]) {
					continue
				}
				fit := perMachine(w.spec, t)
				cost := o.price() / float64(min(fit, count))
				cost *= (1 + 0.01*float64(byZone[zone])) * n.shy(name, zone, now)
				if cost < bestCost {
					best, bestCost = o, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

func perMachine(s *protocol.Submission, t *protocol.MachineType) int {
	fit := math.Inf(1)
	for _, x := range [][2]float64{{t.CPUs, s.CPUs}, {t.GPUs, s.GPUs}, {t.MemoryGB, s.MemoryGB}} {
		if x[1] > 0 {
			fit = min(fit, math.Floor((x[0]+tolerance)/x[1]))
		}
	}
	return max(1, int(min(fit, 1000)))
}
