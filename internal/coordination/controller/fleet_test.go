package controller

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/emulator"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// A return that falls due together with a refresh of the machine types used to
// be marked as under way and never sent, and no later one was either.
func TestReturnsGoOutBesideTypeRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Minute) }()
		s := protocol.Settings{NodeName: "n0", CloudAddr: "cloud", StateAddr: "state", NodeCount: 1, Zones: []string{"a"}, Workers: protocol.WorkerSettings{HeartbeatInterval: 2 * time.Second, LeaseDuration: 12 * time.Second},
			StateLimits: protocol.StateLimits{RequestRate: 200, WriteRate: 80, MaxValueBytes: 8192, MaxTxnOps: 12}, CloudLimits: protocol.CloudLimits{RequestRate: 8}}
		pol, err := policy.Load("", s)
		if err != nil {
			t.Fatal(err)
		}
		w := emulator.NewWorld(ctx, 1, s.Workers, nil)
		w.AddMachines(1, "a")
		log := slog.New(slog.DiscardHandler)
		link := emulator.Link{W: w, Node: "n0", Ctx: ctx}
		controller := New(Options{Settings: s, Policy: pol, Store: kv.New(link, "state", s.StateLimits, log), HTTP: link, Log: log})
		controller.view.Loaded, controller.view.Revision = true, 1
		controller.view.Shards["n0"].FencingToken = 1
		controller.view.ApplyMachine("vm-000001", &records.Machine{Shard: "n0", State: records.MachineReturning}, 1)
		go controller.cloudLoop(ctx)
		time.Sleep(3 * time.Second)
		returned := slices.DeleteFunc(w.Events(), func(line string) bool { return !strings.HasSuffix(line, " returned") })
		if len(returned) != 1 {
			t.Fatalf("wanted the machine returned once, saw %v", w.Events())
		}
	})
}
