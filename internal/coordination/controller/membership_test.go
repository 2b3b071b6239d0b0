package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// A copy of an earlier process's registration that is executed late would attach the node's
// record to that process's lease. So each registration is conditional on the version of the
// record that it replaces.
func TestRegistrationIsConditional(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := &recordingStore{}
		controller := newTestController(store)
		controller.view.Loaded = true
		controller.view.Apply(records.NodePrefix+"n0", &records.Node{StartedAtMs: 1}, 5)
		go controller.membershipLoop(ctx)
		time.Sleep(time.Second)
		controller.mu.Lock()
		defer controller.mu.Unlock()
		defer cancel()
		if compares := store.txn.Compares; len(compares) != 1 || compares[0] != (kv.Compare{Key: records.NodePrefix + "n0", Version: 5}) {
			t.Errorf("the registration is conditional on %v", compares)
		}
	})
}
