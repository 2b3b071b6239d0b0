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
	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// provisioner is what a controller remembers of machines that it asks for and returns.
type provisioner struct {
	unrecorded          map[string]unrecordedHost // machines that nobody expected, by host
	refusedUntil        map[string]time.Time      // by provisioning.OfferKey
	bootStats           provisioning.BootStats
	requestCount        int // requests so far, for their names
	listedAt            time.Time
	typesFetchedAt      time.Time
	returning           bool // recorded returns are being carried out
	returningUnrecorded bool // machines are being returned without a record
}

func newProvisioner() provisioner {
	return provisioner{unrecorded: make(map[string]unrecordedHost), refusedUntil: make(map[string]time.Time)}
}

// cloudLoop keeps machine types and the machine list up to date, and carries
// out recorded returns.
func (n *Controller) cloudLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		now := time.Now()
		n.shareCloudBudget()
		needTypes := len(n.view.MachineTypes) == 0 || now.Sub(n.provisioner.typesFetchedAt) > 30*time.Second
		needList := n.view.Loaded && len(n.view.MachineTypes) > 0 && now.Sub(n.provisioner.listedAt) > max(10*time.Second, n.settings.CloudLimits.ListLag)
		hosts := n.machinesToReturn(now)
		n.mu.Unlock()
		switch {
		case len(hosts) > 0:
			// First of all: machinesToReturn marked them as being returned, and a mark
			// without the call would hold up every later return for good.
			go n.executeReturns(ctx, hosts)
		case needTypes:
			n.fetchMachineTypes(ctx)
		case needList:
			n.listMachines(ctx)
		}
		n.pause(ctx, 150*time.Millisecond+37*time.Nanosecond)
	}
}

// shareCloudBudget divides the cloud's calls: half of them for the leader, who hires
// for all, the rest for the returns and lists of every node.
func (n *Controller) shareCloudBudget() {
	part := 0.4 / float64(max(1, n.settings.NodeCount))
	if n.isLeader() {
		part += 0.5
	}
	n.cloudLimiter.SetLimit(rate.Limit(n.settings.CloudLimits.RequestRate * part))
}

func (n *Controller) fetchMachineTypes(ctx context.Context) {
	if n.cloudLimiter.Wait(ctx) != nil {
		return
	}
	var out protocol.MachineTypes
	status, err := n.callJSON(ctx, n.settings.CloudAddr, "GET", protocol.PathMachineTypes, nil, &out, 4*time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil || status != 200 || len(out.Types) == 0 {
		n.log.Debug("machine types", "status", status, "err", err)
		if len(n.view.MachineTypes) > 0 {
			n.provisioner.typesFetchedAt = time.Now().Add(-20 * time.Second)
		}
		return
	}
	n.provisioner.typesFetchedAt = time.Now()
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

// returnCommitTimeout bounds the time for which a decision to return a machine waits to
// be recorded: one that waited for an outage to end took away machines that had
// long been heard again.
const returnCommitTimeout = 4 * time.Second

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
		[]kv.Op{{Key: records.MachinePrefix + m.Host, Value: &rec}}, returnCommitTimeout, func(error) { m.Lifecycle.Returning = false })
}

// machinesToReturn lists the machines whose return is recorded and not carried out.
func (n *Controller) machinesToReturn(now time.Time) []string {
	var hosts []string
	if !n.view.Loaded || n.provisioner.returning {
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
		case len(hosts) < maxReturnsPerCall:
			hosts = append(hosts, m.Host)
		}
	}
	if len(hosts) > 0 {
		n.provisioner.returning = true
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

// maxReturnsPerCall is the most machines that the cloud takes back in one call.
const maxReturnsPerCall = 100

// callReturn asks the cloud to take machines back.
func (n *Controller) callReturn(ctx context.Context, hosts []string) (int, error) {
	if err := n.cloudLimiter.Wait(ctx); err != nil {
		return 0, err
	}
	return n.callJSON(ctx, n.settings.CloudAddr, "POST", protocol.PathReturnMachines, protocol.HostList{Hosts: hosts}, nil, 4*time.Second)
}

// markGone notes that the cloud has taken a machine back: it and everything
// on it are gone.
func (n *Controller) markGone(m *replica.Machine) {
	m.Lifecycle.Gone = true
	n.view.Shard(m.Record.Shard).Changed = true
	for _, p := range m.Use.Slots {
		n.view.MarkDirty(p.Claim)
	}
}

func (n *Controller) executeReturns(ctx context.Context, hosts []string) {
	status, err := n.callReturn(ctx, hosts)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.provisioner.returning = false
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
		n.markGone(m)
		n.recordGone(s, m)
	}
	n.log.Info("machines returned", "hosts", strings.Join(hosts, ","), "status", status, "err", err)
}

// listMachines finds machines that failed, and some that nobody expected.
func (n *Controller) listMachines(ctx context.Context) {
	from := ""
	for range 20 {
		if n.cloudLimiter.Wait(ctx) != nil {
			return
		}
		var out protocol.MachineList
		status, err := n.callJSON(ctx, n.settings.CloudAddr, "GET", protocol.PathMachines+"?most=500&from="+from, nil, &out, 4*time.Second)
		n.mu.Lock()
		n.provisioner.listedAt = time.Now()
		if err == nil && status == 200 {
			for _, h := range out.Hosts {
				n.observeListed(h)
				from = h.Host
			}
		}
		n.mu.Unlock()
		if err != nil || status != 200 || !out.Truncated {
			return
		}
	}
}

func (n *Controller) observeListed(h protocol.ListedMachine) {
	m := n.view.Machines[h.Host]
	if m != nil {
		m.ListedAddress = h.Address
	}
	switch {
	case m == nil:
		// A hire whose answer was lost shows up here. A younger one may still
		// be about to be recorded by the node that hired it.
		if n.isLeader() && protocol.Seconds(h.AgeS) > 10*time.Second+2*n.settings.CloudLimits.ListLag {
			n.noteUnrecorded(h.Host, h.Type, h.Zone, h.Spot)
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
					n.scaleIn(s, now)
					n.consolidate(s, now)
				}
			}
			if n.isLeader() {
				n.adoptMachines(now)
				n.retryProvisions(now)
				n.scaleOut(now)
				n.dropGoneGroups()
			}
		}
		n.mu.Unlock()
	}
}

// scaleIn gives back machines that have had nothing to do for a while and
// are not part of the warm room, those that never came up, and sick ones.
func (n *Controller) scaleIn(s *replica.Shard, now time.Time) {
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
	wanted := n.kindsInDemand(s, now)
	spare := 0.0
	rooms := n.capacities(s, now)
	for _, r := range rooms {
		if r.Usable && !r.Spot && r.Type.GPUs == 0 {
			spare += r.Free.CPUs
		}
	}
	keep := services * n.policy.WarmShare
	for _, m := range s.Machines {
		if m.Lifecycle.Returning {
			continue
		}
		t := n.view.MachineType(m.Record.Type)
		if m.Agent.Heartbeat == nil {
			age := m.Age(now)
			if age > n.provisioner.bootStats.Expired(bootKindOf(m), t.BootTime(), now) && now.Sub(m.AdoptedAt) > t.BootTime()+n.settings.Workers.LeaseDuration {
				n.log.Info("machine never came up, returned", "host", m.Host, "type", m.Record.Type, "zone", m.Record.Zone, "age", age.Round(time.Second))
				n.returnMachine(s, m)
			}
			continue
		}
		inDemand := wanted[replica.MachineKind{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}] && !m.Quarantine.Active && m.Lifecycle.DrainingSince.IsZero()
		if len(m.Use.Slots) > 0 || inDemand || held[m.Host] || m.RunsTasks() || now.Sub(m.AdoptedAt) < n.policy.IdleMachineTTL {
			m.Lifecycle.IdleSince = time.Time{}
			continue
		}
		if m.Lifecycle.IdleSince.IsZero() {
			m.Lifecycle.IdleSince = now
		}
		if (m.Quarantine.Active && now.Sub(m.Quarantine.ChangedAt) > quarantineGrace) || !m.Lifecycle.DrainingSince.IsZero() {
			n.returnMachine(s, m)
			continue
		}
		if now.Sub(m.Lifecycle.IdleSince) < n.policy.IdleMachineTTL {
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

// kindsInDemand tells which kinds of machine the shard's queue could use. While
// the state service is short of budget, work waits beside idle machines; to
// return them and hire others just after would be paid twice.
func (n *Controller) kindsInDemand(s *replica.Shard, now time.Time) map[replica.MachineKind]bool {
	wanted := make(map[replica.MachineKind]bool)
	queue := n.queue(s, now)
	for kind := range s.Kinds {
		if t := n.view.MachineTypes[kind.Type]; t != nil {
			wanted[kind] = slices.ContainsFunc(queue, func(u *placement.QueueEntry) bool {
				return placement.FitsEmpty(u.Spec, t) && placement.Allowed(u.Spec, kind.Type, kind.Zone, kind.Spot) && !n.exceedsLimit(u)
			})
		}
	}
	return wanted
}

const (
	consolidationInterval = 10 * time.Second
	consolidationRetry    = 2 * time.Second // after finding no machine worth emptying
	drainTimeout          = 25 * time.Second
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
		if now.Sub(m.Lifecycle.DrainingSince) > drainTimeout {
			m.Lifecycle.DrainingSince = time.Time{}
			continue
		}
		n.migrateReplicas(m, now)
		busy = busy || m.Record.State == ""
	}
	if busy || now.Sub(s.DrainedAt) < consolidationInterval || now.Sub(s.ConsolidationCheckedAt) < consolidationRetry || now.Sub(s.OwnedSince) < 15*time.Second || len(n.queue(s, now)) > 0 {
		return
	}
	s.ConsolidationCheckedAt = now
	rooms := n.capacities(s, now)
	n.detailCapacities(rooms, now)
	spare, keep := 0.0, 0.0
	on := make(map[string][]replica.Victim)
	movable := make(map[string]bool)
	for _, r := range rooms {
		on[r.Host] = r.Victims
		if r.Usable {
			spare += r.Free.CPUs
		}
		for _, v := range r.Victims {
			// What is left must hold the warm room and these replicas too.
			keep += v.Claim.Spec.CPUs * n.policy.WarmShare
		}
		movable[r.Host] = r.Usable && len(r.Victims) > 0 && len(r.Releases) == 0 && r.Machine.RunsOnlyReplicas()
	}
	slices.SortFunc(rooms, func(a, b *placement.Capacity) int {
		return cmp.Compare(provisioning.WastedPrice(b), provisioning.WastedPrice(a))
	})
	for _, from := range rooms {
		if !movable[from.Host] || provisioning.WastedPrice(from) < 0.6*provisioning.PriceOf(from) || spare-from.Free.CPUs < keep {
			continue
		}
		if !n.fitElsewhere(from, on[from.Host], rooms, now) {
			continue
		}
		n.log.Info("emptying a machine", "host", from.Host, "replicas", len(on[from.Host]))
		from.Machine.Lifecycle.DrainingSince = now
		s.DrainedAt = now
		n.migrateReplicas(from.Machine, now)
		n.wake()
		return
	}
}

// migrateReplicas stops what a machine being emptied still runs, one replica of
// each service at a time, so that a service goes on while it moves.
func (n *Controller) migrateReplicas(m *replica.Machine, now time.Time) {
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
		n.sendPendingCommands(n.view.Shards[m.Record.Shard])
	}
}

// fitElsewhere tries the moves on a copy of the rooms.
func (n *Controller) fitElsewhere(from *placement.Capacity, tasks []replica.Victim, rooms []*placement.Capacity, now time.Time) bool {
	var others []*placement.Capacity
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
		if i := slices.Index(zones[v.Claim], from.Zone); i >= 0 {
			zones[v.Claim] = slices.Delete(zones[v.Claim], i, i+1)
		}
		z := placement.NewZoneConstraint(v.Claim.Spec, zones[v.Claim])
		i := placement.Select(v.Claim.Spec, v.Claim.JobID, others, &z, 0, now)
		if i < 0 || !others[i].HasImage(v.Claim.Spec.Image) {
			return false
		}
		zones[v.Claim] = append(zones[v.Claim], others[i].Zone)
		others[i].Allocate(v.Claim.Spec)
	}
	return true
}

// maxMachinesPerRequest is the most machines that the cloud rents in one call.
const maxMachinesPerRequest = 50

// recordProvision writes a hire's name down before it is sent.
func (n *Controller) recordProvision(rec *records.Provision) {
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
			n.sendProvision(h)
		})
}

// retryProvisions repeats recorded hires without an answer, those of an earlier
// leader too: the same name rents nothing twice.
func (n *Controller) retryProvisions(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.view.Provisions)) {
		switch h := n.view.Provisions[name]; {
		case h.Version == 0 || h.Busy || !now.After(h.RetryAt):
		case h.AnsweredHosts != nil:
			h.Busy = true
			n.recordProvisioned(h, h.AnsweredHosts)
		default:
			n.sendProvision(h)
		}
	}
}

func (n *Controller) sendProvision(h *replica.Provision) {
	if h == nil || h.Busy {
		return
	}
	h.Busy = true
	rec, ctx := h.Record, n.ctx
	turn := n.cloudLimiter.Reserve() // here and not below: those sent at one instant go in order
	go func() {
		var out protocol.HostList
		var status int
		var err error
		if delay := turn.Delay(); delay > 0 && !pause(ctx, delay) {
			turn.Cancel()
			err = ctx.Err()
		}
		if err == nil {
			status, err = n.callJSON(ctx, n.settings.CloudAddr, "POST", protocol.PathMachines, rec.ProvisionRequest, &out, 5*time.Second)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		h.RetryAt = time.Now().Add(time.Second)
		switch {
		case err == nil && status == 200:
			n.recordProvisioned(h, out.Hosts)
		case err == nil && (status == 503 || status == 400):
			o := rec.Type + "/" + rec.Zone + "/" + strconv.FormatBool(rec.Spot)
			n.provisioner.refusedUntil[o] = time.Now().Add(n.policy.RefusedOfferPause)
			n.log.Info("hire refused", "kind", o, "status", status)
			n.dropProvision(h)
		default:
			h.Busy = false
		}
	}()
}

func (n *Controller) dropProvision(h *replica.Provision) {
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: records.ProvisionPrefix + h.Name, Version: h.Version}}, []kv.Op{{Key: records.ProvisionPrefix + h.Name}}, 10*time.Second,
		func(err error) { h.Busy = false })
}

// recordProvisioned records the machines of a hire, all in one record. Only the leader
// does: it alone knows which machines have been adopted meanwhile, and none may
// be put into two shards.
func (n *Controller) recordProvisioned(h *replica.Provision, hosts []string) {
	rec := h.Record
	if len(hosts) < rec.Count {
		n.provisioner.refusedUntil[rec.Type+"/"+rec.Zone+"/"+strconv.FormatBool(rec.Spot)] = time.Now().Add(n.policy.RefusedOfferPause)
	}
	rec.Hosts = nil
	if n.view.Revision < h.Version {
		// This version may be that of an adoption, read ahead of the watch, and the
		// machines adopted with it are not in the cache yet: one was put into two shards.
		h.AnsweredHosts, h.Busy, h.RetryAt = hosts, false, time.Now()
		return
	}
	for _, host := range hosts {
		if n.view.Machines[host] == nil && !n.provisioner.unrecorded[host].recording {
			rec.Hosts = append(rec.Hosts, host)
		}
	}
	if !n.isLeader() {
		h.Busy = false // the next leader asks again by the same name
		return
	}
	if len(rec.Hosts) == 0 {
		n.dropProvision(h)
		return
	}
	n.commit(kv.PriorityLease, []kv.Compare{{Key: records.LeaderKey, Version: n.leadership.version}, {Key: records.ProvisionPrefix + h.Name, Version: h.Version}},
		[]kv.Op{{Key: records.ProvisionPrefix + h.Name, Value: &rec}}, 10*time.Second, func(error) { h.Busy = false })
}

// dropGoneGroups drops the records whose machines are all gone, each with a record
// of its own that says so.
func (n *Controller) dropGoneGroups() {
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

// scaleOut provisions machines for the work that neither free nor coming capacity can take.
func (n *Controller) scaleOut(now time.Time) {
	planner := provisioning.Planner{Market: n.market(now), Supply: n.supply(now)}
	urgent, arrays := n.demands(now)
	var offers []provisioning.Offer
	for _, demand := range urgent {
		offers = append(offers, planner.Fill(demand, math.Inf(1))...)
	}
	others, bestEffort := provisioning.SplitBestEffort(arrays)
	budget, bestEffortBudget := planner.ArrayBudget(others, bestEffort, n.runningLoad(), n.budgetPolicy())
	offers = append(offers, fillArrays(&planner, others, budget)...)
	offers = append(offers, fillArrays(&planner, bestEffort, bestEffortBudget)...)
	for _, provision := range n.groupOffers(offers, now) {
		n.recordProvision(provision)
	}
}

// fillArrays puts the demands of arrays into the supply and returns the machines to ask for
// within a budget of CPUs. An array that nothing there could ever run gets one machine all
// the same.
func fillArrays(planner *provisioning.Planner, arrays []provisioning.Demand, budget float64) []provisioning.Offer {
	const oneMachine = tolerance // any budget above 0 is good for one
	var offers []provisioning.Offer
	for _, demand := range arrays {
		if budget <= 0 && planner.IsUnservable(demand) {
			offers = append(offers, planner.Fill(demand, oneMachine)...)
			continue
		}
		filled := planner.Fill(demand, budget)
		for _, offer := range filled {
			budget -= offer.Type.CPUs
		}
		offers = append(offers, filled...)
	}
	return offers
}

// groupOffers makes one request for all machines of a kind, whatever their shards: the
// rates of the cloud and of the state service are too low for one of each for every
// machine. It stops at an offer for which there is no shard, without any request.
func (n *Controller) groupOffers(offers []provisioning.Offer, now time.Time) []*records.Provision {
	current := make(map[string]*records.Provision)
	var requests []*records.Provision
	for _, offer := range offers {
		shard := offer.Shard
		if shard == "" {
			shard = n.smallestShard(offer.Zone, offer.Type.Name)
		}
		if shard == "" {
			return nil
		}
		request := current[offer.Key()]
		if request == nil || request.Count == maxMachinesPerRequest {
			request = n.newProvision(replica.MachineKind{Type: offer.Type.Name, Zone: offer.Zone, Spot: offer.Spot}, now)
			current[offer.Key()] = request
			requests = append(requests, request)
			// smallestShard counts it from now on.
			n.view.Provisions[request.Name] = &replica.Provision{Name: request.Name, Busy: true}
		}
		request.Count++
		request.Allocate(shard)
		n.view.Provisions[request.Name].Record = *request
	}
	return requests
}

// newProvision returns a request for machines of a kind under a name of its own.
func (n *Controller) newProvision(kind replica.MachineKind, now time.Time) *records.Provision {
	n.provisioner.requestCount++
	name := fmt.Sprintf("%s-%d-%d", n.settings.NodeName, n.startedAt.UnixMilli(), n.provisioner.requestCount)
	request := protocol.ProvisionRequest{Name: name, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot}
	return &records.Provision{ProvisionRequest: request, RequestedAtMs: now.UnixMilli()}
}

// market is what can be provisioned now.
func (n *Controller) market(now time.Time) provisioning.Market {
	machinesByZone := make(map[string]int)
	for _, shard := range n.view.Shards {
		for kind, count := range shard.Kinds {
			machinesByZone[kind.Zone] += count
		}
	}
	return provisioning.Market{
		Types: n.view.MachineTypes, RefusedUntil: n.provisioner.refusedUntil, MachinesByZone: machinesByZone, Now: now,
		IsPartitioned: func(zone string) bool { return n.isPartitioned(zone, now) },
		Unreliability: func(typeName, zone string) float64 { return n.unreliability(typeName, zone, now) },
	}
}

func (n *Controller) budgetPolicy() provisioning.BudgetPolicy {
	return provisioning.BudgetPolicy{ArrayWait: n.policy.ArrayWait, BestEffortWait: n.policy.BestEffortWait,
		BestEffortShare: n.policy.BestEffortProvisionShare, WarmShare: n.policy.WarmShare}
}

// runningLoad is what arrays and services have placed, in all shards.
func (n *Controller) runningLoad() provisioning.RunningLoad {
	var load provisioning.RunningLoad
	for _, claim := range n.view.Claims {
		if claim.Record == nil || claim.Spec == nil {
			continue
		}
		switch cpus := float64(len(claim.Record.Placements)) * claim.Spec.CPUs; claim.Spec.Shape {
		case protocol.ShapeArray:
			load.Arrays += cpus
		case protocol.ShapeService:
			load.Services += cpus
		}
	}
	return load
}

// supply is the capacity of all machines, there or coming, of every shard.
func (n *Controller) supply(now time.Time) []*placement.Capacity {
	var supply []*placement.Capacity
	for _, name := range n.view.ShardNames() {
		// Only the owner sees that a machine fails its tasks. Counted on by the leader, its
		// capacity would keep what waits for it from getting another machine.
		excluded := n.shardLoads.reported[name].Load.ExcludedHosts
		for _, machine := range n.view.Shards[name].Machines {
			if slices.Contains(excluded, machine.Host) {
				continue
			}
			if capacity := n.supplyOf(machine, now); capacity != nil {
				supply = append(supply, capacity)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.view.Provisions)) {
		request := n.view.Provisions[name].Record
		machineType := n.view.MachineTypes[request.Type]
		if machineType == nil {
			continue
		}
		for _, allocation := range request.Allocations {
			offer := provisioning.Offer{Type: machineType, Zone: request.Zone, Spot: request.Spot, Shard: allocation.Shard}
			for range allocation.Count {
				supply = append(supply, offer.Capacity())
			}
		}
	}
	return supply
}

// supplyOf is the capacity of a machine as it counts for what waits; nil: it does not.
func (n *Controller) supplyOf(machine *replica.Machine, now time.Time) *placement.Capacity {
	machineType := n.view.MachineTypes[machine.Record.Type]
	leaving := machine.Lifecycle.Returning || !machine.Agent.PreemptionNoticeAt.IsZero()
	if machineType == nil || machine.Quarantine.Active || leaving || n.isPartitioned(machine.Record.Zone, now) {
		return nil
	}
	return &placement.Capacity{Machine: machine, Host: machine.Host, TypeName: machine.Record.Type, Zone: machine.Record.Zone,
		Spot: machine.Record.Spot, Type: machineType, Shard: machine.Record.Shard, Free: n.view.FreeCapacity(machine)}
}

// maxDemandTasks bounds the tasks of one chunk that machines are sought for in one pass.
const maxDemandTasks = 2000

// warmReserveTasks is the least that the warm reserve has beside its share.
const warmReserveTasks = 2

// demands lists the work without machines, urgent first, and arrays apart: an array may
// wait a little for running tasks to end.
func (n *Controller) demands(now time.Time) (urgent, arrays []provisioning.Demand) {
	replicas := 0
	var service *protocol.Submission
	for _, job := range n.view.Jobs {
		if job.Record == nil || job.Record.Spec == nil || job.Record.IsFinal() {
			continue
		}
		spec := job.Spec()
		if spec.Shape == protocol.ShapeService {
			replicas += placedTasks(job)
			if service == nil || spec.JobID < service.JobID {
				service = spec // any will do, but the same one every time
			}
		}
		if spec.Shape == protocol.ShapeArray {
			arrays = append(arrays, n.demandsOf(job, now)...)
		} else {
			urgent = append(urgent, n.demandsOf(job, now)...)
		}
	}
	provisioning.SortByPriority(urgent)
	provisioning.SortByPriority(arrays)
	if service != nil && n.policy.WarmShare > 0 {
		tasks := int(math.Ceil(float64(replicas)*n.policy.WarmShare)) + warmReserveTasks
		skip := func(zone string) bool { return n.isPartitioned(zone, now) }
		urgent = append(urgent, provisioning.WarmReserve(service, tasks, n.settings.Zones, skip)...)
	}
	return urgent, arrays
}

// placedTasks counts the recorded placements of a job, of all its chunks.
func placedTasks(job *replica.Job) int {
	count := 0
	for _, claim := range job.Claims {
		count += claim.PlacedCount()
	}
	return count
}

// demandsOf lists the chunks of an open job that lack machines.
func (n *Controller) demandsOf(job *replica.Job, now time.Time) []provisioning.Demand {
	if now.Before(job.NotBefore) || job.OnProbation(now) {
		return nil
	}
	spec := job.Spec()
	allowance := math.MaxInt
	if n.isLimited(spec) {
		// No machines for what the team's limit keeps waiting anyway.
		allowance = n.allowance(spec)
	}
	var demands []provisioning.Demand
	for chunk := range job.Chunks {
		entry := placement.QueueEntry{Job: job, Claim: n.view.ClaimOf(job, chunk), Chunk: chunk, Spec: spec}
		demand := provisioning.Demand{Spec: spec, Count: min(entry.PlaceableTasks(), allowance, maxDemandTasks),
			Runtime: n.estimateRuntime(spec), SubmittedAt: job.SubmittedAt()}
		if demand.Count <= 0 {
			continue
		}
		if entry.Claim != nil && entry.Claim.Record != nil {
			demand.Shard, demand.TakenZones = entry.Claim.Record.Shard, n.view.ZonesOf(entry.Claim)
		}
		if entry.StartsTogether() && demand.Shard == "" && len(job.Record.Shards) > 0 {
			demand.Shard = job.Record.Shards[0] // a gang needs its machines side by side
		}
		allowance -= demand.Count
		demands = append(demands, demand)
	}
	return demands
}
