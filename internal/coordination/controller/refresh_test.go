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

func (l *lossy) Submit(t *kv.Txn)                    { l.txn = t }
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
			n := New(Options{Settings: protocol.Settings{NodeName: "n0"}, Store: led, Log: slog.New(slog.DiscardHandler)})
			c := &replica.Claim{Key: key, JobID: "wk-1", Spec: &protocol.Submission{JobID: "wk-1", Team: "t", CPUs: 2, Shape: protocol.ShapeArray}}
			n.mu.Lock()
			n.view.Claims[key] = c
			n.view.SetPending(c, &records.Claim{Shard: "n0", TaskCount: 1, Placements: []records.Placement{{Task: 0, Attempt: 1, Host: "vm-1"}}})
			done := time.Time{}
			n.commit(kv.PriorityArrayClaim, []kv.Compare{{Key: key}}, []kv.Op{{Key: key, Value: c.Pending}}, within, func(error) {
				n.view.SetPending(c, nil)
				done = time.Now()
			})
			n.mu.Unlock()
			began := time.Now()
			led.txn.OnResult(kv.Result{Err: kv.ErrCompareFailed, FailedKeys: []string{key}, Revision: 9})
			time.Sleep(time.Second)
			n.mu.Lock()
			if use := n.view.UsedBy("t", "n0"); within == 0 && (use.CPUs != 2 || !done.IsZero()) {
				t.Errorf("uses %v before anybody knows", use)
			}
			n.mu.Unlock()
			time.Sleep(time.Minute)
			n.mu.Lock()
			defer n.mu.Unlock()
			if use := n.view.UsedBy("t", "n0"); within == 0 && (use.CPUs != 2 || c.Record == nil) {
				t.Errorf("uses %v though it was carried out", use)
			}
			if within > 0 && done.Sub(began) > 2*time.Second {
				t.Errorf("its caller waited for %v", done.Sub(began))
			}
		})
	}
}
