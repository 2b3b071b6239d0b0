package controller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// recordingPeer keeps the messages that a controller sends to it.
type recordingPeer struct {
	mu       sync.Mutex
	messages []protocol.PeerMessage
}

func (p *recordingPeer) Call(_ context.Context, in, _ any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messages = append(p.messages, in.(protocol.PeerMessage))
	return nil
}

// Every kind of message reports the state service as reachable only if the sender has observed
// it. Messages with demands reported it without observation: in an outage, two controllers with
// jobs that waited for their team's limit then each seemed to be refused alone, and neither
// returned the machines of cancelled tasks.
func TestMessagesReportObservedStateAccess(t *testing.T) {
	for name, test := range map[string]struct {
		store       StateStore
		isReachable bool
	}{"served": {idleStore{}, true}, "outage": {unavailableStore{}, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := &recordingPeer{}
				controller := newTestController(test.store)
				controller.peerClients = map[string]PeerClient{"n1": peer}
				controller.demandBroadcast.hadDemands = true
				controller.transferAllotments(time.Now())
				controller.claimIntents = []string{records.ClaimKey("wk-1", 0)}
				controller.broadcastIntents()
				controller.broadcastRecord(records.JobPrefix+"wk-1", &records.Job{}, 1)
				controller.broadcast(t.Context(), controller.statusMessage())
				synctest.Wait()
				kinds := make(map[messageKind]bool)
				for _, message := range peer.messages {
					kinds[messageKindOf(&message)] = true
					if message.StateReachable != test.isReachable {
						t.Errorf("a message of the kind %q reports %v", messageKindOf(&message), message.StateReachable)
					}
				}
				if len(kinds) != 4 {
					t.Errorf("messages of the kinds %v were sent, want four kinds", kinds)
				}
			})
		})
	}
}

// A report counts from the time at which the state service served its sender, whenever the message
// arrives: a controller that resumes after a pause receives messages that were sent long before. A
// message of an older version has no time, and is evidence only if it is periodic.
func TestStateReportsCountFromObservation(t *testing.T) {
	now := time.Now()
	ago := func(age time.Duration) int64 { return now.Add(-age).UnixMilli() }
	for name, test := range map[string]struct {
		messages []protocol.PeerMessage
		isServed bool
	}{
		"recent":                 {[]protocol.PeerMessage{{StateServedAtMs: ago(time.Second)}}, true},
		"old, arrives late":      {[]protocol.PeerMessage{{StateServedAtMs: ago(stateReportTTL), StateReachable: true, Periodic: true}}, false},
		"old one after a recent": {[]protocol.PeerMessage{{StateServedAtMs: ago(time.Second)}, {StateServedAtMs: ago(time.Minute)}}, true},
		"sender's clock ahead":   {[]protocol.PeerMessage{{StateServedAtMs: ago(-25 * time.Millisecond)}}, true},
		"older version":          {[]protocol.PeerMessage{{StateReachable: true, Periodic: true}}, true},
		"older version, demands": {[]protocol.PeerMessage{{StateReachable: true, DemandsComplete: true}}, false},
		"older version, outage":  {[]protocol.PeerMessage{{Periodic: true}}, false},
	} {
		reports := newStateReports()
		for _, message := range test.messages {
			message.From = "n1"
			reports.observe(&message, now)
		}
		if isServed := reports.isServed("n1", now); isServed != test.isServed {
			t.Errorf("%s: served %v", name, isServed)
		}
		if servedAt := reports.byNode["n1"].servedAt; servedAt.After(now) {
			t.Errorf("%s: served %v in the future", name, servedAt.Sub(now))
		}
	}
}
