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

// A return that is due together with a refresh of the machine types must be sent. If it were
// marked as in progress and not sent, it would block every later return.
func TestReturnsAreSentBesideTypeRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Minute) }()
		settings := protocol.Settings{
			NodeName:    "n0",
			CloudAddr:   "cloud",
			StateAddr:   "state",
			NodeCount:   1,
			Zones:       []string{"a"},
			Workers:     protocol.WorkerSettings{HeartbeatInterval: 2 * time.Second, LeaseDuration: 12 * time.Second},
			StateLimits: protocol.StateLimits{RequestRate: 200, WriteRate: 80, MaxValueBytes: 8192, MaxTxnOps: 12},
			CloudLimits: protocol.CloudLimits{RequestRate: 8},
		}
		loaded, err := policy.Load("", settings)
		if err != nil {
			t.Fatal(err)
		}
		world := emulator.NewWorld(ctx, 1, settings.Workers, nil)
		world.AddMachines(1, "a")
		log := slog.New(slog.DiscardHandler)
		link := emulator.Link{W: world, Node: "n0", Ctx: ctx}
		controller := New(Options{Settings: settings, Policy: loaded, Store: kv.New(link, "state", settings.StateLimits, log), HTTP: link, Log: log})
		controller.view.Loaded, controller.view.Revision = true, 1
		controller.view.Shards["n0"].FencingToken = 1
		controller.view.ApplyMachine("vm-000001", &records.Machine{Shard: "n0", State: records.MachineReturning}, 1)
		go controller.cloudLoop(ctx)
		time.Sleep(3 * time.Second)
		returned := slices.DeleteFunc(world.Events(), func(line string) bool { return !strings.HasSuffix(line, " returned") })
		if len(returned) != 1 {
			t.Fatalf("want the machine returned once, got events %v", world.Events())
		}
	})
}
