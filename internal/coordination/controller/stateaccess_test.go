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
				controller.broadcastRecord(records.JobPrefix+"wk-1", &records.Job{})
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
