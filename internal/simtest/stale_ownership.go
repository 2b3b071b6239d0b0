package simtest

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/storage/records"
)

// Some faults must have little effect while they last, which the checks after quiescence do
// not show. If the state service refused the requests of only one controller, that
// controller could keep its agents all the while, and every script would still pass these
// checks.

const (
	// staleTokenTimeout is how long an agent may follow a fencing token that is older than
	// its shard's: within that time another controller must detect the fault, probe the
	// machine and have the machine accept its token.
	staleTokenTimeout  = 20 * time.Second
	staleCheckInterval = 500*time.Millisecond + 31*time.Nanosecond
)

// watchStaleOwnership checks, for as long as the cluster runs, for agents that still follow
// a former owner of their shard although the present owner runs and is served.
func (c *cluster) watchStaleOwnership() {
	staleSince := make(map[string]time.Time) // by host
	for time.Sleep(staleCheckInterval); c.ctx.Err() == nil; time.Sleep(staleCheckInterval) {
		if err := c.checkOwnership(staleSince); err != nil {
			c.fail(err)
			return
		}
	}
}

// checkOwnership updates since when each machine has followed a stale token, and returns an
// error for a machine that has for longer than staleTokenTimeout.
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
		token, isInContact := tokens[host]
		var record records.Shard
		_ = json.Unmarshal(stored[records.ShardPrefix+shard], &record)
		newest := versions[records.ShardPrefix+shard]
		if !isInContact || !onlyIsolation || token >= newest || !c.isServed(record.Owner) {
			delete(staleSince, host)
			continue
		}
		if staleSince[host].IsZero() {
			staleSince[host] = now
		}
		if since := staleSince[host]; now.Sub(since) > staleTokenTimeout {
			return checkErrorf("held", "%s has followed token %d of %s, whose owner %s has token %d, since %v", host, token, shard, record.Owner, newest, since.Sub(c.began))
		}
	}
	return nil
}

// hasOnlyIsolationFaults reports whether every active fault isolates one controller from
// the state service or from the other controllers.
func (c *cluster) hasOnlyIsolationFaults() bool {
	return !slices.ContainsFunc(c.world.ActiveFaults(), func(name string) bool {
		return !strings.HasPrefix(name, "refuse ") && !strings.HasPrefix(name, "alone ")
	})
}

// isServed reports whether a controller runs and is not refused by the state service.
func (c *cluster) isServed(name string) bool {
	return slices.Contains(c.live(), name) && !slices.Contains(c.world.ActiveFaults(), "refuse "+name)
}

// eachProvisioned calls visit with each machine in the provision records, its shard and the
// record's key.
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
