package kv

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
)

// delayedService answers every request after a delay, also if the caller's time is up by then, as
// a process that was paused meanwhile reads the answer.
type delayedService struct {
	delay  time.Duration
	status int
	body   string
}

func (s delayedService) Do(context.Context, string, string, string, []byte) (int, []byte, error) {
	time.Sleep(s.delay)
	return s.status, []byte(s.body), nil
}

func newDelayedClient(service delayedService) *Client {
	return New(service, "x", protocol.StateLimits{RequestRate: 100, WriteRate: 100}, slog.New(slog.DiscardHandler))
}

// An open watch remains open through an outage and may run out in it, and a paused process reads
// its answer when it resumes. The answer must not count as a call that was executed when it
// arrived: the controller would take an outage for a refusal of the others alone.
func TestWatchCountsFromItsSending(t *testing.T) {
	for name, test := range map[string]struct {
		service  delayedService
		executed bool
	}{
		"no changes": {delayedService{10 * time.Second, 200, `{"epoch":7,"news":[]}`}, true},
		"changes":    {delayedService{3 * time.Second, 200, `{"epoch":8,"news":[{"set":"madderslip/a","value":1,"stamp":8}]}`}, true},
		"compacted":  {delayedService{time.Second, 410, ``}, true},
		"refused":    {delayedService{time.Second, 503, ``}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, sentAt := newDelayedClient(test.service), time.Now()
				_, _, _ = client.Watch(t.Context(), 7, 10*time.Second)
				want := time.Unix(0, 0)
				if test.executed {
					want = sentAt
				}
				if got := client.LastSuccess(); !got.Equal(want) {
					t.Errorf("counts as executed %v after it was sent", got.Sub(sentAt))
				}
			})
		})
	}
}

// A call counts as executed when its answer arrived, but not later than its timeout. A process
// that resumes after a pause reads answers from before: they must not show that the state service
// executes calls now.
func TestCallCountsFromItsAnswerWithinTimeout(t *testing.T) {
	for name, test := range map[string]struct{ delay, want time.Duration }{
		"answered soon":           {200 * time.Millisecond, 200 * time.Millisecond},
		"read after a pause":      {20 * time.Second, readTimeout},
		"answered at the timeout": {readTimeout, readTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, sentAt := newDelayedClient(delayedService{test.delay, 404, `{"epoch":7}`}), time.Now()
				if _, err := client.Get(t.Context(), "a"); err != nil {
					t.Fatal(err)
				}
				if got := client.LastSuccess().Sub(sentAt); got != test.want {
					t.Errorf("counts as executed %v after it was sent, want %v", got, test.want)
				}
			})
		})
	}
}
