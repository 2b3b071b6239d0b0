package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// A transaction that starts a task may be reported as failed although an earlier sending of it
// was committed. Until the claim has been read, however long that takes, the task must count
// in its team's usage. A transaction with a deadline, such as a user's, must be answered
// without waiting until the read succeeds.
func TestFailedStartCountsUntilItsClaimIsRead(t *testing.T) {
	for _, test := range []struct {
		name   string
		within time.Duration
	}{{"without a deadline", 0}, {"with a deadline", time.Second}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				key := records.ClaimKey("wk-1", 0)
				store := &lateReadingStore{failedReads: 20, item: kv.Item{Key: key, Version: 9, Value: []byte(`{"h":"n0","n":1,"o":[[0,1,"vm-1"]],"a":1}`)}}
				controller := newTestController(store)
				claim := &replica.Claim{Key: key, JobID: "wk-1", Spec: &protocol.Submission{JobID: "wk-1", Team: "t", CPUs: 2, Shape: protocol.ShapeArray}}
				controller.mu.Lock()
				controller.view.Claims[key] = claim
				controller.view.SetPending(claim, claimOfOneTask("n0", "vm-1"))
				answeredAt := time.Time{}
				controller.commit(kv.PriorityArrayClaim, []kv.Compare{{Key: key}}, []kv.Op{{Key: key, Value: claim.Pending}}, test.within, func(error) {
					controller.view.SetPending(claim, nil)
					answeredAt = time.Now()
				})
				controller.mu.Unlock()
				began := time.Now()
				store.txn.OnResult(kv.Result{Err: kv.ErrCompareFailed, FailedKeys: []string{key}, Revision: 9})
				time.Sleep(time.Second)
				controller.mu.Lock()
				if use := controller.view.UsedBy("t", "n0"); test.within == 0 && (use.CPUs != 2 || !answeredAt.IsZero()) {
					t.Errorf("team usage %v before the claim is read", use)
				}
				controller.mu.Unlock()
				time.Sleep(time.Minute)
				controller.mu.Lock()
				defer controller.mu.Unlock()
				if use := controller.view.UsedBy("t", "n0"); test.within == 0 && (use.CPUs != 2 || claim.Record == nil) {
					t.Errorf("team usage %v though the start was committed", use)
				}
				if test.within > 0 && answeredAt.Sub(began) > 2*time.Second {
					t.Errorf("the caller was answered after %v", answeredAt.Sub(began))
				}
			})
		})
	}
}
