package controller

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
	"madderslip/internal/transport"
)

// Another controller has answered a user that a job is cancelled, and the user at once queries
// this controller, which has no record of the job. By the time the compare of its query has
// failed, the watch has delivered the job's acceptance, but not yet the cancellation. The
// controller must answer with a record that was read after the query arrived, or ask the user
// to retry: "pending" would be older than "cancelled".
func TestStatusIsReadAfterQueryArrived(t *testing.T) {
	key := records.JobPrefix + "wk-1"
	spec := &protocol.Submission{JobID: "wk-1", Team: "open", Shape: protocol.ShapeService, Tasks: 1}
	raw, err := protocol.Encode(&records.Job{Spec: spec, State: protocol.JobCancelled, Tasks: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name   string
		read   kv.Item
		err    error
		status int
		phase  string
	}{
		{"read", kv.Item{Key: key, Value: raw, Version: 8}, nil, 200, protocol.JobCancelled},
		{"not read", kv.Item{}, errors.New("no answer"), 503, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &readingStore{item: test.read, err: test.err}
				controller := newTestController(store)
				controller.view.Loaded, controller.view.Revision = true, 8
				var got transport.Response
				controller.handleQuery("wk-1", func(response transport.Response) { got = response })
				controller.mu.Lock()
				controller.view.Apply(key, &records.Job{Spec: spec, ChunkSize: 1}, 7)
				controller.mu.Unlock()
				store.txn.OnResult(kv.Result{Err: kv.ErrCompareFailed, FailedKeys: []string{key}, Revision: 8})
				time.Sleep(5 * time.Second)
				controller.mu.Lock()
				defer controller.mu.Unlock()
				var answer protocol.JobStatus
				if got.Status == 200 && json.Unmarshal(got.Body, &answer) != nil {
					t.Fatal("unreadable", got.Body)
				}
				if got.Status != test.status || answer.Phase != test.phase {
					t.Errorf("answered %d %s", got.Status, got.Body)
				}
			})
		})
	}
}

// The state service may confirm the record of a submission after the job was cancelled through
// another controller, which received a repetition of the submission. The answer must be the
// newest status. It must say that the job is cancelled only once the watch has reached the
// cancellation, so that this controller's view has every claim committed before that; if the
// watch does not reach it in time, the user is asked to retry.
func TestCancellationIsAnsweredOnceWatchReachesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newTestController(&readingStore{})
		controller.mu.Lock()
		defer controller.mu.Unlock()
		controller.view.Loaded, controller.view.Revision = true, 5
		answer := func() *transport.Response {
			response := &transport.Response{}
			controller.replyStatus("wk-1", 201, time.Second, func(got transport.Response) { *response = got })
			return response
		}
		expect := func(when string, response *transport.Response, status int, phase string) {
			t.Helper()
			var answer protocol.JobStatus
			if response.Status != status || (phase != "" && (json.Unmarshal(response.Body, &answer) != nil || answer.Phase != phase)) {
				t.Errorf("%s: %d %s, wanted %d %s", when, response.Status, response.Body, status, phase)
			}
		}
		controller.view.Apply(records.JobPrefix+"wk-1", &records.Job{Spec: &protocol.Submission{JobID: "wk-1", Tasks: 1}, ChunkSize: 1}, 6)
		expect("accepted", answer(), 201, protocol.JobPending)
		controller.view.Apply(records.JobPrefix+"wk-1", &records.Job{State: protocol.JobCancelled, Tasks: 1}, 8)
		first := answer()
		expect("before the watch has reached it", first, 0, "")
		time.Sleep(500 * time.Millisecond)
		second := answer()
		time.Sleep(600 * time.Millisecond)
		controller.sendPendingReplies(time.Now())
		expect("after its deadline", first, 503, "")
		expect("before its deadline", second, 0, "")
		controller.view.Revision = 8
		controller.sendPendingReplies(time.Now())
		expect("once the watch has reached it", second, 201, protocol.JobCancelled)
		expect("from then on", answer(), 201, protocol.JobCancelled)
		if len(controller.pendingReplies) != 0 {
			t.Errorf("%d pending replies are kept", len(controller.pendingReplies))
		}
	})
}
