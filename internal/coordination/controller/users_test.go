package controller

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// saturatedReads is a node whose state service takes transactions and answers reads as told.
type saturatedReads struct {
	idleStore
	txn *kv.Txn
	now kv.Item
	err error
}

func (a *saturatedReads) Submit(txn *kv.Txn)          { a.txn = txn }
func (a *saturatedReads) ReadBacklog() (int, float64) { return 0, 100 }
func (a *saturatedReads) Get(context.Context, string) (kv.Item, error) {
	return a.now, a.err
}

// A user was told elsewhere that the job is cancelled, and asks here at once. This node
// did not know the job as the question came; by the time its comparison has failed the
// watch has brought the acceptance, not yet the cancellation. What it then answers is what
// it has read since the question, or nothing: "pending" would be older than "cancelled".
func TestAnswersAreNoOlderThanTheQuestion(t *testing.T) {
	key := records.JobPrefix + "wk-1"
	spec := &protocol.Submission{JobID: "wk-1", Team: "open", Shape: protocol.ShapeService, Tasks: 1}
	raw, err := protocol.Encode(&records.Job{Spec: spec, State: protocol.JobCancelled, Tasks: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		read   kv.Item
		err    error
		status int
		phase  string
	}{
		{"read", kv.Item{Key: key, Value: raw, Version: 8}, nil, 200, protocol.JobCancelled},
		{"not read", kv.Item{}, errors.New("no answer"), 503, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				led := &saturatedReads{now: c.read, err: c.err}
				controller := New(Options{Settings: protocol.Settings{NodeName: "n0"}, Store: led, Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, 1))})
				controller.view.Loaded, controller.view.Revision = true, 8
				var got transport.Response
				controller.handleQuery("wk-1", func(r transport.Response) { got = r })
				controller.mu.Lock()
				controller.view.Apply(key, &records.Job{Spec: spec, ChunkSize: 1}, 7)
				controller.mu.Unlock()
				led.txn.OnResult(kv.Result{Err: kv.ErrCompareFailed, FailedKeys: []string{key}, Revision: 8})
				time.Sleep(5 * time.Second)
				controller.mu.Lock()
				defer controller.mu.Unlock()
				var answer protocol.JobStatus
				if got.Status == 200 && json.Unmarshal(got.Body, &answer) != nil {
					t.Fatal("unreadable", got.Body)
				}
				if got.Status != c.status || answer.Phase != c.phase {
					t.Errorf("answered %d %s", got.Status, got.Body)
				}
			})
		})
	}
}

// The answer of a submission's own record may come after the news that the job, known
// elsewhere from a repetition, was cancelled there. Its user is told the newest; and that
// it is cancelled only once the watch has come to the cancellation, so that this node
// knows of every claim committed before it, or not at all.
func TestCancelledIsToldOnceItsClaimsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := New(Options{Settings: protocol.Settings{NodeName: "n0"}, Store: &saturatedReads{}, Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, 1))})
		controller.mu.Lock()
		defer controller.mu.Unlock()
		controller.view.Loaded, controller.view.Revision = true, 5
		answer := func() *transport.Response {
			r := &transport.Response{}
			controller.replyStatus("wk-1", 201, time.Second, func(got transport.Response) { *r = got })
			return r
		}
		expect := func(what string, r *transport.Response, status int, phase string) {
			t.Helper()
			var a protocol.JobStatus
			if r.Status != status || (phase != "" && (json.Unmarshal(r.Body, &a) != nil || a.Phase != phase)) {
				t.Errorf("%s: %d %s, wanted %d %s", what, r.Status, r.Body, status, phase)
			}
		}
		controller.view.Apply(records.JobPrefix+"wk-1", &records.Job{Spec: &protocol.Submission{JobID: "wk-1", Tasks: 1}, ChunkSize: 1}, 6)
		expect("accepted", answer(), 201, protocol.JobPending)
		controller.view.Apply(records.JobPrefix+"wk-1", &records.Job{State: protocol.JobCancelled, Tasks: 1}, 8)
		first := answer()
		expect("the watch is behind", first, 0, "")
		time.Sleep(500 * time.Millisecond)
		second := answer()
		time.Sleep(600 * time.Millisecond)
		controller.sendPendingReplies(time.Now())
		expect("its time is over", first, 503, "")
		expect("it still has time", second, 0, "")
		controller.view.Revision = 8
		controller.sendPendingReplies(time.Now())
		expect("the watch has come as far", second, 201, protocol.JobCancelled)
		expect("and from then on", answer(), 201, protocol.JobCancelled)
		if len(controller.pendingReplies) != 0 {
			t.Errorf("%d answers are kept", len(controller.pendingReplies))
		}
	})
}
