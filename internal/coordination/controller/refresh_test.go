package controller

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// lossy is a state service that answers no read for a while.
type lossy struct {
	StateStore // not asked for anything else
	txn        *kv.Txn
	unread     int
	item       kv.Item
}

func (l *lossy) Submit(txn *kv.Txn)                  { l.txn = txn }
func (l *lossy) ObserveVersion(string, uint64, bool) {}
func (l *lossy) Get(context.Context, string) (kv.Item, error) {
	if l.unread--; l.unread >= 0 {
		return kv.Item{}, errors.New("no answer")
	}
	return l.item, nil
}

// A start that failed, for all one hears, may have been carried out by an earlier
// sending. Until its claim has been read, however long that takes, it counts in what
// its team uses. A user's transaction has a deadline, and its answer does not wait.
func TestWhatBecameOfAStartIsFoundOut(t *testing.T) {
	for _, within := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			key := records.ClaimKey("wk-1", 0)
			led := &lossy{unread: 20, item: kv.Item{Key: key, Version: 9, Value: []byte(`{"h":"n0","n":1,"o":[[0,1,"vm-1"]],"a":1}`)}}
			controller := New(Options{Settings: protocol.Settings{NodeName: "n0"}, Store: led, Log: slog.New(slog.DiscardHandler)})
			claim := &replica.Claim{Key: key, JobID: "wk-1", Spec: &protocol.Submission{JobID: "wk-1", Team: "t", CPUs: 2, Shape: protocol.ShapeArray}}
			controller.mu.Lock()
			controller.view.Claims[key] = claim
			controller.view.SetPending(claim, &records.Claim{Shard: "n0", TaskCount: 1, Placements: []records.Placement{{Task: 0, Attempt: 1, Host: "vm-1"}}})
			done := time.Time{}
			controller.commit(kv.PriorityArrayClaim, []kv.Compare{{Key: key}}, []kv.Op{{Key: key, Value: claim.Pending}}, within, func(error) {
				controller.view.SetPending(claim, nil)
				done = time.Now()
			})
			controller.mu.Unlock()
			began := time.Now()
			led.txn.OnResult(kv.Result{Err: kv.ErrCompareFailed, FailedKeys: []string{key}, Revision: 9})
			time.Sleep(time.Second)
			controller.mu.Lock()
			if use := controller.view.UsedBy("t", "n0"); within == 0 && (use.CPUs != 2 || !done.IsZero()) {
				t.Errorf("uses %v before anybody knows", use)
			}
			controller.mu.Unlock()
			time.Sleep(time.Minute)
			controller.mu.Lock()
			defer controller.mu.Unlock()
			if use := controller.view.UsedBy("t", "n0"); within == 0 && (use.CPUs != 2 || claim.Record == nil) {
				t.Errorf("uses %v though it was carried out", use)
			}
			if within > 0 && done.Sub(began) > 2*time.Second {
				t.Errorf("its caller waited for %v", done.Sub(began))
			}
		})
	}
}
