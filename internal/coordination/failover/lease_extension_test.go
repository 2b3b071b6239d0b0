package failover

import (
	"testing"
	"time"
)

const sec = time.Second

// A controller extends the leases of another owner's workers only if it has contact with
// neither the state service nor the owner. With contact to either of them, the extension could
// keep a worker away from an owner that the worker can reach. A controller that has not read
// its records extends leases only while no cancelled task can run for longer than the limit
// after its cancellation.
func TestOnlyIsolatedControllerExtendsOthersLeases(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		state, owner time.Duration // time since the last contact with the state service and with the owner
		want         bool
	}{
		"no contact with state service and owner": {9 * sec, 9 * sec, true},
		"no contact with the state service only":  {9 * sec, sec, false},
		"no contact with the owner only":          {sec, 9 * sec, false},
		"contact with both":                       {sec, sec, false},
	} {
		if got := MayExtendLease(LastContact{now.Add(-c.state), now.Add(-c.owner)}, now, 4*sec); got != c.want {
			t.Errorf("%s: extends leases: %v", name, got)
		}
	}
	for name, c := range map[string]struct {
		start              ColdStart
		cancelLimit, lease time.Duration
		want               bool
	}{
		"started behind a partition":                {ColdStart{3 * sec, false, true}, 47 * sec, 27 * sec, true},
		"just started":                              {ColdStart{sec / 2, false, true}, 47 * sec, 27 * sec, false},
		"started longer ago than the limit allows":  {ColdStart{10 * sec, false, true}, 47 * sec, 27 * sec, false},
		"contact with another process":              {ColdStart{3 * sec, true, true}, 47 * sec, 27 * sec, false},
		"no controller in another zone":             {ColdStart{3 * sec, false, false}, 47 * sec, 27 * sec, false},
		"the limit leaves no time to extend leases": {ColdStart{3 * sec, false, true}, 38 * sec, 27 * sec, false},
	} {
		if got := MayExtendLeaseAfterColdStart(c.start, c.cancelLimit, c.lease); got != c.want {
			t.Errorf("%s: extends leases: %v", name, got)
		}
	}
}
