package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// checkNothingLeft checks that the cluster holds nothing for jobs after all jobs have ended: no
// running tasks, no rented machines, no records of claims, reservations, reserved team use or
// unanswered provision requests, and no state in the controllers' memory.
func (c *cluster) checkNothingLeft() error {
	if count := c.world.Running(""); count > 0 {
		return checkErrorf("leaked", "%d tasks run though every job is over", count)
	}
	stored := c.records()
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		if why := leakReason(key, stored[key]); why != "" {
			return checkErrorf("leaked", "%s: %s", key, why)
		}
	}
	if hosts := c.world.Hosts(false); len(hosts) > 0 {
		return checkErrorf("leaked", "%v are rented though every job is over", hosts)
	}
	for _, name := range c.names {
		if left := c.process(name).controller.Residue(); len(left) > 0 {
			return checkErrorf("leaked", "%s holds in memory: %s", name, strings.Join(left, ", "))
		}
	}
	return nil
}

// leakReason returns why a record must not exist after all jobs have ended and all machines
// have been returned, or an empty string if it may exist.
func leakReason(key string, value json.RawMessage) string {
	switch {
	case strings.HasPrefix(key, records.ClaimPrefix):
		return "a claim of a job that is over"
	case strings.HasPrefix(key, records.GangReservationPrefix), strings.HasPrefix(key, records.GangHoldPrefix):
		return "a gang reservation or hold of a job that is over"
	case strings.HasPrefix(key, records.TeamUsagePrefix):
		return teamUsageLeakReason(value)
	case strings.HasPrefix(key, records.ReservationPrefix):
		var reservations records.Reservations
		if err := json.Unmarshal(value, &reservations); err != nil {
			return err.Error()
		}
		if len(reservations.ByClaim)+len(reservations.Preempted) > 0 {
			return "a guarantee reserved for a job that is over"
		}
	case strings.HasPrefix(key, records.ProvisionPrefix):
		var provision records.Provision
		if err := json.Unmarshal(value, &provision); err != nil {
			return err.Error()
		}
		if len(provision.Hosts) == 0 {
			return "an unanswered provision request"
		}
	case strings.HasPrefix(key, records.MachinePrefix):
		var machine records.Machine
		if err := json.Unmarshal(value, &machine); err != nil {
			return err.Error()
		}
		if machine.State != records.MachineGone {
			return "a machine that is not gone"
		}
	}
	return ""
}

// teamUsageLeakReason is leakReason for a TeamUsage record.
func teamUsageLeakReason(value json.RawMessage) string {
	var usage records.TeamUsage
	if err := json.Unmarshal(value, &usage); err != nil {
		return err.Error()
	}
	for shard, use := range usage.ByShard {
		// While the limit is allotted, the record shows the whole limit as used under "*".
		if use != (protocol.Resources{}) && shard != "*" {
			return fmt.Sprintf("%v reserved in %s", use, shard)
		}
	}
	return ""
}
