package simtest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

const (
	calmSpare  = 60              // machines the cloud has for what still waits
	calmWithin = 6 * time.Minute // everything accepted is over, or runs, by then
	tidyWithin = 6 * time.Minute // and after that nothing is left of it
	calmLook   = 5 * time.Second
	// Once all troubles are over a job about which no question is answered for so long
	// is forgotten, however others fare.
	knownWithin = 75 * time.Second
	// And then no job waits for so long while a machine that fits has room and its team
	// is under its limit.
	waitsWithin = 90 * time.Second
)

// calm ends all troubles and checks what must be so some time later: what was
// accepted is final or runs, every controller says the same, and once all is
// over nothing of it is left anywhere.
func (c *cluster) calm() error {
	c.w.EndFaults(calmSpare)
	for _, name := range c.names {
		if err := c.start(name); err != nil {
			return err
		}
	}
	c.calmSince = time.Now()
	time.Sleep(calmLook)
	c.users.Wait() // no user insists for longer than a minute
	if err := c.until(calmWithin, c.settled); err != nil {
		return err
	}
	for _, j := range c.w.Accepted() {
		if j.Fails || j.Shape == protocol.ShapeService {
			if got := c.w.RequestUntilAnswered(c.names[0], func(node string) int { return c.w.Cancel(node, j.Ref) }); got != 200 {
				return fmt.Errorf("unanswered: the abort of %s got %d after calm", j.Ref, got)
			}
		}
	}
	return c.until(tidyWithin, c.tidy)
}

// until looks again and again whether a check holds, and returns why not.
func (c *cluster) until(within time.Duration, check func() error) error {
	end := time.Now().Add(within)
	for {
		err := cmp.Or(c.oneShard(), c.recount(), c.known(), c.noneWaits())
		if err != nil {
			return err // that does not mend itself
		}
		err = check()
		c.mu.Lock()
		fault := c.fault
		c.mu.Unlock()
		if fault != nil {
			return fault
		}
		if err == nil || time.Now().After(end) || len(c.w.Broken()) > 0 {
			return err
		}
		time.Sleep(calmLook)
	}
}

// noneWaits checks that no job waits beside room that it fits.
func (c *cluster) noneWaits() error {
	if refs := c.w.UnplacedLongerThan(waitsWithin); len(refs) > 0 {
		return fmt.Errorf("waits: %s for %v, beside room", strings.Join(refs, ", "), waitsWithin)
	}
	return nil
}

// known asks about every accepted job, at another controller each time.
func (c *cluster) known() error {
	c.asked++
	for i, j := range c.w.Accepted() {
		if status, _ := c.w.Query(c.names[(c.asked+i)%len(c.names)], j.Ref); status == 200 {
			c.answered[j.Ref] = time.Now()
		}
		last := c.answered[j.Ref]
		if last.Before(c.calmSince) {
			last = c.calmSince
		}
		if silent := time.Since(last); silent > knownWithin {
			return fmt.Errorf("forgotten: no question about %s was answered for %v after all troubles", j.Ref, silent.Round(time.Second))
		}
	}
	return nil
}

// oneShard checks that each machine is in one shard for life: with two, it has
// two owners that both place work there.
func (c *cluster) oneShard() error {
	in := make(map[string]string)
	var err error
	eachHired(c.records(), func(key, host, shard string) {
		if other := in[host]; other != "" && other != shard && err == nil {
			err = fmt.Errorf("two_shards: %s is in %s and, by %s, in %s", host, other, key, shard)
		}
		in[host] = shard
	})
	return err
}

// settled checks the jobs: each is final at every controller or, a service,
// runs whole.
func (c *cluster) settled() error {
	for _, j := range c.w.Accepted() {
		final := 0
		for _, name := range c.names {
			status, a := c.w.Query(name, j.Ref)
			if status != 200 {
				return fmt.Errorf("not_answered: %s answers %d for %s after calm", name, status, j.Ref)
			}
			if a.Phase == protocol.JobDone || a.Phase == protocol.JobCancelled {
				final++
			}
		}
		switch {
		case final == len(c.names):
		case final == 0 && c.w.Endless(j.Ref) && j.Shape != protocol.ShapeService:
		case final > 0 || (j.Shape != protocol.ShapeService && !j.Fails):
			return fmt.Errorf("not_final: %s is final at %d controllers after calm", j.Ref, final)
		case !j.Fails:
			if got := c.w.Running(j.Ref); got != j.Tasks {
				return fmt.Errorf("not_running: %d of %d replicas of %s run after calm", got, j.Tasks, j.Ref)
			}
		}
	}
	return nil
}

// tidy checks that nothing is left of jobs that are all over: no task, no
// machine, no claim, no reserved use, and no record without an owner.
func (c *cluster) tidy() error {
	if k := c.w.Running(""); k > 0 {
		return fmt.Errorf("leaked: %d tasks run though every job is over", k)
	}
	stored := c.records()
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		if why := leaked(key, stored[key]); why != "" {
			return fmt.Errorf("leaked: %s: %s", key, why)
		}
	}
	if hosts := c.w.Hosts(false); len(hosts) > 0 {
		return fmt.Errorf("leaked: %v are rented and unused", hosts)
	}
	for _, name := range c.names {
		c.mu.Lock()
		p := c.nodes[name]
		c.mu.Unlock()
		if left := p.node.Residue(); len(left) > 0 {
			return fmt.Errorf("leaked: %s keeps %s", name, strings.Join(left, ", "))
		}
	}
	return nil
}

// records is what the state service holds, without the prefix of all keys.
func (c *cluster) records() map[string]json.RawMessage {
	stored := make(map[string]json.RawMessage)
	for key, value := range c.w.State.Keys() {
		_, key, _ = strings.Cut(key, "/")
		stored[key] = value
	}
	return stored
}

// leaked tells why a record should not be there once every job is over and
// every machine returned.
func leaked(key string, value json.RawMessage) string {
	switch {
	case strings.HasPrefix(key, records.ClaimPrefix):
		return "a claim of a job that is over"
	case strings.HasPrefix(key, records.GangReservationPrefix), strings.HasPrefix(key, records.GangHoldPrefix):
		return "room held for nobody"
	case strings.HasPrefix(key, records.TeamUsagePrefix):
		var t records.TeamUsage
		if err := json.Unmarshal(value, &t); err != nil {
			return err.Error()
		}
		for shard, use := range t.ByShard {
			// "*" alone stands for a limit that is allotted.
			if use != (protocol.Resources{}) && shard != "*" {
				return fmt.Sprintf("%v reserved in %s", use, shard)
			}
		}
	case strings.HasPrefix(key, records.ReservationPrefix):
		var b records.Reservations
		if err := json.Unmarshal(value, &b); err != nil {
			return err.Error()
		}
		if len(b.ByClaim)+len(b.Preempted) > 0 {
			return "a booked guarantee of a job that is over"
		}
	case strings.HasPrefix(key, records.ProvisionPrefix):
		var h records.Provision
		if err := json.Unmarshal(value, &h); err != nil {
			return err.Error()
		}
		if len(h.Hosts) == 0 {
			return "a hire without an answer"
		}
	case strings.HasPrefix(key, records.MachinePrefix):
		var m records.Machine
		if err := json.Unmarshal(value, &m); err != nil {
			return err.Error()
		}
		if m.State != records.MachineGone {
			return "a machine that is not gone"
		}
	}
	return ""
}
