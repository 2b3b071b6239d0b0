package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/storage/records"
)

// Some troubles must cost little while they last. What calm finds afterwards says
// nothing about that: a controller that the state service refused alone kept its
// workers for as long as it was refused, and no schedule complained.

const (
	// heldFor is how long a worker may go on obeying a token that its shard has
	// outlived: a neighbour must notice, ask the machine and be heard.
	heldFor  = 20 * time.Second
	heldLook = 500*time.Millisecond + 31*time.Nanosecond
)

// watchHeld looks, for as long as the cluster lives, for workers that a former
// owner of their shard holds although the present owner is well.
func (c *cluster) watchHeld() {
	since := make(map[string]time.Time)
	for time.Sleep(heldLook); c.ctx.Err() == nil; time.Sleep(heldLook) {
		now, stored, held := time.Now(), c.records(), c.w.MachineTokens()
		calm := c.onlyApart()
		shards, stamps := make(map[string]string), make(map[string]uint64)
		eachHired(stored, func(_, host, shard string) { shards[host] = shard })
		for key, stamp := range c.w.State.Versions() {
			_, key, _ = strings.Cut(key, "/")
			stamps[key] = stamp
		}
		for _, host := range slices.Sorted(maps.Keys(shards)) {
			shard := shards[host]
			token, well := held[host]
			var rec records.Shard
			_ = json.Unmarshal(stored[records.ShardPrefix+shard], &rec)
			newest := stamps[records.ShardPrefix+shard]
			if !well || !calm || token >= newest || !c.served(rec.Owner) {
				delete(since, host)
				continue
			}
			if since[host].IsZero() {
				since[host] = now
			}
			if now.Sub(since[host]) > heldFor {
				c.fail(fmt.Errorf("held: %s obeys token %d of %s, whose owner %s has %d since %v", host, token, shard, rec.Owner, newest, since[host].Sub(c.began)))
				return
			}
		}
	}
}

// onlyApart tells that no trouble is on but those that part one controller from
// the state service or from the other controllers.
func (c *cluster) onlyApart() bool {
	return !slices.ContainsFunc(c.w.ActiveFaults(), func(name string) bool {
		return !strings.HasPrefix(name, "refuse ") && !strings.HasPrefix(name, "alone ")
	})
}

// served tells that a controller runs and the state service serves it.
func (c *cluster) served(name string) bool {
	return slices.Contains(c.live(), name) && !slices.Contains(c.w.ActiveFaults(), "refuse "+name)
}

// eachHired reads from the hires which shard each machine is in.
func eachHired(stored map[string]json.RawMessage, tell func(key, host, shard string)) {
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		var h records.Provision
		if !strings.HasPrefix(key, records.ProvisionPrefix) || json.Unmarshal(stored[key], &h) != nil {
			continue
		}
		for i, host := range h.Hosts {
			tell(key, host, h.ShardOf(i))
		}
	}
}
