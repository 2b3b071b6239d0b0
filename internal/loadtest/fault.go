package loadtest

import (
	"context"
	"fmt"
	"os"

	"madderslip/internal/protocol"
	"madderslip/internal/timing"
)

// runFault waits until a fault is due and injects it. After the fault's duration (ForS) it
// starts a crashed controller again or ends the delays of the state service.
func (m *measurement) runFault(ctx context.Context, fault Fault) {
	if !timing.Sleep(ctx, protocol.Seconds(fault.AtS)) {
		return
	}
	fmt.Fprintf(m.progress, "trouble: %s\n", fault.Kind)
	switch fault.Kind {
	case faultSlow:
		m.world.SetFault("slow", true)
		timing.Sleep(ctx, protocol.Seconds(fault.ForS))
		m.world.SetFault("slow", false)
	case faultCopies:
		m.world.SetFault("repeated commands", true)
	case faultReboot:
		hosts := m.world.Hosts(false)
		for _, host := range hosts[:int(fault.Part*float64(len(hosts)))] {
			m.world.SetMachineFault(host, "reboot")
		}
	case faultCrash:
		m.crashController(ctx, fault)
	}
}

// crashController kills a controller chosen at random and starts it again after the fault's
// duration (ForS).
func (m *measurement) crashController(ctx context.Context, fault Fault) {
	m.mu.Lock()
	target := m.controllers[m.random.IntN(len(m.controllers))]
	m.mu.Unlock()
	target.kill()
	if !timing.Sleep(ctx, protocol.Seconds(fault.ForS)) {
		return
	}
	if err := target.start(ctx, m.cfg.Program); err != nil {
		fmt.Fprintln(os.Stderr, "restart of", target.name+":", err)
	}
}
