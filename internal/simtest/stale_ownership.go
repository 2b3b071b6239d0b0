package simtest

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/storage/records"
)

// Some faults must cost little while they last. What is so after quiescence says nothing
// about that: a controller that the state service refuses alone could keep its workers for
// as long as it is refused, and every script would still end well.

const (
	// staleWithin is how long a worker may go on obeying a token that its shard has
	// outlived: a neighbour must notice, ask the machine and be heard.
	staleWithin        = 20 * time.Second
	staleCheckInterval = 500*time.Millisecond + 31*time.Nanosecond
)

// watchStaleOwnership looks, for as long as the cluster lives, for workers that a former
// owner of their shard holds although the present owner is well.
func (c *cluster) watchStaleOwnership() {
	staleSince := make(map[string]time.Time) // by host
	for time.Sleep(staleCheckInterval); c.ctx.Err() == nil; time.Sleep(staleCheckInterval) {
		if err := c.checkOwnership(staleSince); err != nil {
			c.fail(err)
			return
		}
	}
}

// checkOwnership updates since when each machine has obeyed a stale token, and returns an
// error for one that has for too long.
func (c *cluster) checkOwnership(staleSince map[string]time.Time) error {
	now, stored, tokens := time.Now(), c.records(), c.world.MachineTokens()
	onlyIsolation := c.hasOnlyIsolationFaults()
	versions := make(map[string]uint64)
	for key, version := range c.world.State.Versions() {
		versions[withoutPrefix(key)] = version
	}
	shardOf := make(map[string]string)
	stored.eachProvisioned(func(_, host, shard string) { shardOf[host] = shard })
	for _, host := range slices.Sorted(maps.Keys(shardOf)) {
		shard := shardOf[host]
		token, isWell := tokens[host]
		var record records.Shard
		_ = json.Unmarshal(stored[records.ShardPrefix+shard], &record)
		newest := versions[records.ShardPrefix+shard]
		if !isWell || !onlyIsolation || token >= newest || !c.isServed(record.Owner) {
			delete(staleSince, host)
			continue
		}
		if staleSince[host].IsZero() {
			staleSince[host] = now
		}
		if since := staleSince[host]; now.Sub(since) > staleWithin {
			return checkErrorf("held", "%s obeys token %d of %s, whose owner %s has %d since %v", host, token, shard, record.Owner, newest, since.Sub(c.began))
		}
	}
	return nil
}

// hasOnlyIsolationFaults reports whether no fault is on but those that part one controller
// from the state service or from the other controllers.
func (c *cluster) hasOnlyIsolationFaults() bool {
	return !slices.ContainsFunc(c.world.ActiveFaults(), func(name string) bool {
		return !strings.HasPrefix(name, "refuse ") && !strings.HasPrefix(name, "alone ")
	})
}

// isServed reports whether a controller runs and the state service serves it.
func (c *cluster) isServed(name string) bool {
	return slices.Contains(c.live(), name) && !slices.Contains(c.world.ActiveFaults(), "refuse "+name)
}

// eachProvisioned reads from the provisions which shard each machine is in.
func (stored recordSet) eachProvisioned(visit func(key, host, shard string)) {
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		var provision records.Provision
		if !strings.HasPrefix(key, records.ProvisionPrefix) || json.Unmarshal(stored[key], &provision) != nil {
			continue
		}
		for i, host := range provision.Hosts {
			visit(key, host, provision.ShardOf(i))
		}
	}
}
