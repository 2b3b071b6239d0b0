package simtest

import (
	"fmt"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// defaultControllerCount is the number of controllers of a cluster whose script does not set one.
const defaultControllerCount = 3

// zones are the names of the zones of every cluster.
var zones = []string{"a", "b"}

// controllerNames returns the names of a cluster's controllers: n0, n1 and so on.
func controllerNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("n", i)
	}
	return names
}

// zoneOf returns the zone of a controller. The controllers alternate between the zones.
func zoneOf(names []string, name string) string {
	return zones[slices.Index(names, name)%len(zones)]
}

// settings returns the settings of a controller, as the embedding platform would pass them.
func settings(names []string, name string) protocol.Settings {
	s := protocol.Settings{
		NodeName:  name,
		Zone:      zoneOf(names, name),
		CloudAddr: "cloud",
		StateAddr: "state",
		NodeCount: len(names),
		Zones:     slices.Clone(zones),
		Teams: map[string]protocol.Team{
			"open":  {Name: "open"},
			"tight": {Name: "tight", MaxCPUs: 4},
			"cards": {Name: "cards", GuaranteedGPUs: 2, MaxGPUs: 4},
			"lent":  {Name: "lent", GuaranteedCPUs: 8, MaxCPUs: 16},
			"guest": {Name: "guest"},
		},
		Workers: protocol.WorkerSettings{
			HeartbeatInterval: 2 * time.Second,
			LeaseDuration:     12 * time.Second,
			GangStartTimeout:  30 * time.Second,
			GangPeerTimeout:   6 * time.Second,
			CancelDeadline:    30 * time.Second,
		},
		StateLimits:   protocol.StateLimits{RequestRate: 200, WriteRate: 80, MaxValueBytes: 8192, MaxTxnOps: 12},
		CloudLimits:   protocol.CloudLimits{RequestRate: 8, ListLag: 2 * time.Second},
		ProcessLimits: protocol.ProcessLimits{CPUShare: 0.3, MemoryBytes: 128 << 20, MaxConns: 1000},
	}
	for _, other := range names {
		if other != name {
			s.Peers = append(s.Peers, protocol.Peer{Node: other, Zone: zoneOf(names, other), Addr: other})
		}
	}
	return s
}

// gpuMachine returns the GPU machine type that clusters have in addition to the emulator's
// types.
func gpuMachine() protocol.MachineType {
	return protocol.MachineType{Name: "g2", CPUs: 16, GPUs: 2, MemoryGB: 64, ImageCacheGB: 50, ImagePullGBps: 1, Price: 6, SpotPrice: 2, BootS: 12, Zones: slices.Clone(zones)}
}
