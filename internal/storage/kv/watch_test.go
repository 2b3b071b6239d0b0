package kv

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
)

// An open watch remains open through an outage and may run out in it. Its empty answer must not
// count as an executed call: the controller would take an outage for a refusal of itself alone,
// since the others would report that they are served.
func TestWatchThatRunsOutIsNoExecutedCall(t *testing.T) {
	for name, test := range map[string]struct {
		status   int
		body     string
		executed bool
	}{
		"no changes": {200, `{"epoch":7,"news":[]}`, false},
		"changes":    {200, `{"epoch":8,"news":[{"set":"madderslip/a","value":1,"stamp":8}]}`, true},
		"compacted":  {410, ``, true},
		"refused":    {503, ``, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := &scriptedService{answer: func(int, string) (int, string, error) { return test.status, test.body, nil }}
				client := New(service, "x", protocol.StateLimits{RequestRate: 100, WriteRate: 100}, slog.New(slog.DiscardHandler))
				_, _, _ = client.Watch(t.Context(), 7, time.Second)
				if executed := !client.LastSuccess().Equal(time.Unix(0, 0)); executed != test.executed {
					t.Errorf("counts as an executed call: %v", executed)
				}
			})
		})
	}
}
