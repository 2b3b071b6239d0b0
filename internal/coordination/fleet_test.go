package coordination

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/ledger"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/standin"
)

// A return that falls due together with a refresh of the machine types used to
// be marked as under way and never sent, and no later one was either.
func TestReturnsGoOutBesideTypeRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Minute) }()
		s := protocol.Settings{Node: "n0", Cloud: "cloud", State: "state", Nodes: 1, Zones: []string{"a"}, Workers: protocol.WorkerSettings{Report: 2 * time.Second, Lease: 12 * time.Second},
			StateLimit: protocol.StateLimits{RPS: 200, WriteRPS: 80, ValueBytes: 8192, TxnOps: 12}, CloudLimit: protocol.CloudLimits{RPS: 8}}
		pol, err := policy.Load("", s)
		if err != nil {
			t.Fatal(err)
		}
		w := standin.NewWorld(ctx, 1, s.Workers, nil)
		w.AddMachines(1, "a")
		log := slog.New(slog.DiscardHandler)
		link := standin.Link{W: w, Node: "n0", Ctx: ctx}
		n := New(Options{Settings: s, Policy: pol, Ledger: ledger.New(link, "state", s.StateLimit, log), HTTP: link, Log: log})
		n.loaded, n.epoch = true, 1
		n.shards["n0"].token = 1
		n.storeMachine("vm-000001", &ledger.Machine{Shard: "n0", State: ledger.Returning}, 1)
		go n.cloudLoop(ctx)
		time.Sleep(3 * time.Second)
		returned := slices.DeleteFunc(w.Events(), func(line string) bool { return !strings.HasSuffix(line, " returned") })
		if len(returned) != 1 {
			t.Fatalf("wanted the machine returned once, saw %v", w.Events())
		}
	})
}
