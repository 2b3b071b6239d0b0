package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"madderslip/internal/protocol"
)

// TestLoopbackWorkersHaveAddresses checks that each worker answers at its own address with
// its own host name, and that calls are counted.
func TestLoopbackWorkersHaveAddresses(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := NewWorld(ctx, 1, protocol.WorkerSettings{HeartbeatInterval: time.Second, LeaseDuration: 10 * time.Second}, nil)
	l, err := NewLoopback(ctx, w)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	w.AddMachines(300, "a")
	time.Sleep(100 * time.Millisecond) // the workers start within milliseconds
	client := &http.Client{Timeout: 2 * time.Second}
	for _, host := range []string{"vm-000001", "vm-000249", "vm-000250", "vm-000251", "vm-000300"} {
		resp, err := client.Get("http://" + w.Address(host) + protocol.PathStatus)
		if err != nil {
			t.Errorf("%s: %v", host, err)
			continue
		}
		var r protocol.Heartbeat
		err = json.NewDecoder(resp.Body).Decode(&r)
		_ = resp.Body.Close()
		if err != nil || r.Host != host || r.Address != w.Address(host) {
			t.Errorf("%s: answers as %s at %s (%v)", host, r.Host, r.Address, err)
		}
	}
	resp, err := client.Post("http://"+l.StateAddr+protocol.PathTransactions, "application/json", bytes.NewReader([]byte(`{"if":[],"writes":[{"set":"a","value":1}]}`)))
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("the state service: %v %v", resp, err)
	}
	if l.State.Requests.Load() != 1 || l.Commands.Requests.Load() != 5 {
		t.Errorf("%d calls of the state service, %d of workers counted", l.State.Requests.Load(), l.Commands.Requests.Load())
	}
}
