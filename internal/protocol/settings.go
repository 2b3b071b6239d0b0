// Package protocol holds the message types of every interface, their
// validation and the one route table. The wire's own spellings stay in the
// struct tags here; the rest of the program uses the field's usual terms, and
// seconds on the wire become time.Duration on the way in.
package protocol

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings is the platform's settings file, checked and in Go's own types.
type Settings struct {
	NodeName    string
	Zone        string
	PublicAddr  string
	PeerAddr    string
	Peers       []Peer
	CloudAddr   string
	StateAddr   string
	NodeCount   int
	Zones       []string
	ClockError  time.Duration
	Teams       map[string]Team
	Objectives  []Objective
	Workers     WorkerSettings
	StateLimits StateLimits
	// AnnouncedStateLimits are the limits that the state service will have from some moment on,
	// without notice. What is 0 is not announced.
	AnnouncedStateLimits StateLimits
	CloudLimits          CloudLimits
	ProcessLimits        ProcessLimits
	PolicyFile           string
	// Doubts are what contradicts itself and can be read all the same, one line each.
	// The service starts: it must not refuse a platform's settings for a guest's.
	Warnings []string
}

// Peer is another controller.
type Peer struct{ Node, Zone, Addr string }

// Team has guarantees and limits; a limit of 0 means there is none.
type Team struct {
	Name                                             string
	GuaranteedCPUs, MaxCPUs, GuaranteedGPUs, MaxGPUs float64
}

// Objective is one aim on starting or finishing.
type Objective struct {
	Kind, Class                 string
	Within                      time.Duration
	TargetShare, DeadlineFactor float64
}

// WorkerSettings are the workers' periods and leases.
type WorkerSettings struct {
	HeartbeatInterval, LeaseDuration, GangStartTimeout, GangPeerTimeout, CancelDeadline time.Duration
}

// StateLimits are the budgets of the state service.
type StateLimits struct {
	RequestRate, WriteRate float64
	MaxValueBytes          int
	MaxTxnOps              int
}

// MaxPlacements is how many placements of one claim fit a value, with room for the
// rest of the record. Small values are used more closely: the exact size is
// checked again when placements are added.
func (l StateLimits) MaxPlacements() int {
	const mostOfSmall = 100
	return max(1, (l.MaxValueBytes-1024)/36, min(mostOfSmall, (l.MaxValueBytes-384)/24))
}

// LoweredBy are the limits once others, as far as these are announced and lower, hold as
// well.
func (l StateLimits) LoweredBy(next StateLimits) StateLimits {
	if next.RequestRate > 0 {
		l.RequestRate = min(l.RequestRate, next.RequestRate)
	}
	if next.WriteRate > 0 {
		l.WriteRate = min(l.WriteRate, next.WriteRate)
	}
	if next.MaxValueBytes > 0 {
		l.MaxValueBytes = min(l.MaxValueBytes, next.MaxValueBytes)
	}
	if next.MaxTxnOps > 0 {
		l.MaxTxnOps = min(l.MaxTxnOps, next.MaxTxnOps)
	}
	return l
}

// RecordLimits are the limits that every new record and transaction keeps: those of
// today and the announced ones alike.
func (s *Settings) RecordLimits() StateLimits { return s.StateLimits.LoweredBy(s.AnnouncedStateLimits) }

// minTxnOps is the fewest changes of a transaction that the service can work with:
// a job's end, its last claim and its team's record go together.
const minTxnOps = 4

// CloudLimits are the budget and the lag of the cloud's API.
type CloudLimits struct {
	RequestRate float64
	ListLag     time.Duration
}

// ProcessLimits bound this process.
type ProcessLimits struct {
	CPUShare    float64
	MemoryBytes int64
	MaxConns    int
}

type wireSettings struct {
	Node       string `toml:"node"`
	Area       string `toml:"area"`
	PublicAddr string `toml:"public_addr"`
	PeerBind   string `toml:"peer_bind"`
	Policy     string `toml:"policy"`
	Others     []struct {
		Node     string `toml:"node"`
		Area     string `toml:"area"`
		Endpoint string `toml:"endpoint"`
	} `toml:"others"`
	Outside struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Cluster struct {
		Nodes      int      `toml:"nodes"`
		Zones      []string `toml:"zones"`
		ClockError float64  `toml:"clock_error_ms"`
		Teams      []struct {
			Name    string  `toml:"name"`
			CPUs    float64 `toml:"cpus"`
			CPUsMax float64 `toml:"cpus_max"`
			GPUs    float64 `toml:"gpus"`
			GPUsMax float64 `toml:"gpus_max"`
		} `toml:"teams"`
		Objectives []struct {
			Kind    string  `toml:"kind"`
			Class   string  `toml:"class"`
			WithinS float64 `toml:"within_s"`
			Share   float64 `toml:"share"`
			Times   float64 `toml:"times"`
		} `toml:"objectives"`
		Workers struct {
			Report   float64 `toml:"report_s"`
			Lease    float64 `toml:"lease_s"`
			GangWait float64 `toml:"gang_wait_s"`
			GangPeer float64 `toml:"gang_peer_s"`
			Cancel   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
			Next     struct {
				WriteRPS float64 `toml:"write_rps"`
				ValueKB  float64 `toml:"value_kb"`
				TxnOps   int     `toml:"txn_ops"`
			} `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS     float64 `toml:"rps"`
			ListLag float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			CPUShare float64 `toml:"cpu_share"`
			RAM      float64 `toml:"ram_mb"`
			Conns    int     `toml:"max_connections"`
		} `toml:"machine_limits"`
	} `toml:"cluster"`
}

// SettingError names the file, the key and what is wrong with it.
type SettingError struct{ File, Key, Reason string }

func (e *SettingError) Error() string { return e.File + ": " + e.Key + ": " + e.Reason }

// Seconds turns the wire's seconds into a Duration.
func Seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }

// LoadSettings reads and checks a settings file. Unknown keys are ignored.
func LoadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &SettingError{path, "file", err.Error()}
	}
	var w wireSettings
	if err := toml.Unmarshal(raw, &w); err != nil {
		key := "syntax"
		var pe toml.ParseError
		if errors.As(err, &pe) && pe.LastKey != "" {
			key = pe.LastKey
		} else if _, rest, ok := strings.Cut(err.Error(), `(last key "`); ok {
			// A value of the wrong type: the library names the key in its text only.
			key, _, _ = strings.Cut(rest, `"`)
		}
		return Settings{}, &SettingError{path, key, err.Error()}
	}
	s, key, reason := w.check()
	if reason != "" {
		return Settings{}, &SettingError{path, key, reason}
	}
	return s, nil
}

func (w *wireSettings) check() (s Settings, key, reason string) {
	c := &w.Cluster
	if w.Node == "" {
		return s, "node", "is missing"
	}
	if w.Area == "" {
		return s, "area", "is missing"
	}
	addrs := []struct{ key, addr string }{
		{"public_addr", w.PublicAddr}, {"peer_bind", w.PeerBind},
		{"outside.cloud", w.Outside.Cloud}, {"outside.state", w.Outside.State},
	}
	s = Settings{NodeName: w.Node, Zone: w.Area, PublicAddr: w.PublicAddr, PeerAddr: w.PeerBind,
		CloudAddr: w.Outside.Cloud, StateAddr: w.Outside.State, NodeCount: c.Nodes, Zones: c.Zones, PolicyFile: w.Policy,
		ClockError: Seconds(c.ClockError / 1000), Teams: make(map[string]Team)}
	seen := map[string]bool{w.Node: true}
	for i, o := range w.Others {
		at := fmt.Sprintf("others[%d]", i)
		if o.Node == "" {
			return s, at + ".node", "is missing"
		}
		if seen[o.Node] {
			return s, at + ".node", "names a controller twice: " + o.Node
		}
		seen[o.Node] = true
		addrs = append(addrs, struct{ key, addr string }{at + ".endpoint", o.Endpoint})
		s.Peers = append(s.Peers, Peer{o.Node, o.Area, o.Endpoint})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return s, a.key, "wants an IP address and port, has " + fmt.Sprintf("%q", a.addr)
		}
	}
	positive := []struct {
		key string
		v   float64
	}{
		{"cluster.workers.report_s", c.Workers.Report}, {"cluster.workers.lease_s", c.Workers.Lease},
		{"cluster.workers.gang_wait_s", c.Workers.GangWait}, {"cluster.workers.gang_peer_s", c.Workers.GangPeer},
		{"cluster.workers.cancel_s", c.Workers.Cancel},
		{"cluster.state.rps", c.State.RPS}, {"cluster.state.write_rps", c.State.WriteRPS},
		{"cluster.state.value_kb", c.State.ValueKB}, {"cluster.state.txn_ops", float64(c.State.TxnOps)},
		{"cluster.cloud.rps", c.Cloud.RPS},
		{"cluster.machine_limits.cpu_share", c.Limits.CPUShare}, {"cluster.machine_limits.ram_mb", c.Limits.RAM},
		{"cluster.machine_limits.max_connections", float64(c.Limits.Conns)},
	}
	for _, p := range positive {
		if !(p.v > 0) || math.IsInf(p.v, 0) {
			return s, p.key, fmt.Sprintf("must be above 0, has %v", p.v)
		}
	}
	if c.State.TxnOps < minTxnOps {
		return s, "cluster.state.txn_ops", fmt.Sprintf("must be at least %d", minTxnOps)
	}
	if len(c.Zones) == 0 {
		return s, "cluster.zones", "is empty"
	}
	if s.NodeCount == 0 {
		s.NodeCount = 1 + len(s.Peers)
	}
	for i, t := range c.Teams {
		at := fmt.Sprintf("cluster.teams[%d]", i)
		if t.Name == "" {
			return s, at + ".name", "is missing"
		}
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return s, at, "has a negative or infinite amount"
			}
		}
		if _, twice := s.Teams[t.Name]; twice {
			s.Warnings = append(s.Warnings, fmt.Sprintf("%s: team %s stands there twice, the latter counts", at, t.Name))
		}
		for _, x := range []struct {
			key           string
			guarantee, of float64
		}{{"cpus", t.CPUs, t.CPUsMax}, {"gpus", t.GPUs, t.GPUsMax}} {
			if x.of > 0 && x.guarantee > x.of {
				s.Warnings = append(s.Warnings, fmt.Sprintf("%s: team %s has %s = %g above its limit of %g, the limit counts", at, t.Name, x.key, x.guarantee, x.of))
			}
		}
		s.Teams[t.Name] = Team{t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax}
	}
	for i, o := range c.Objectives {
		if o.WithinS < 0 || o.Kind == "" {
			return s, fmt.Sprintf("cluster.objectives[%d]", i), "wants a kind and no negative time"
		}
		s.Objectives = append(s.Objectives, Objective{o.Kind, o.Class, Seconds(o.WithinS), o.Share, o.Times})
	}
	s.Workers = WorkerSettings{Seconds(c.Workers.Report), Seconds(c.Workers.Lease), Seconds(c.Workers.GangWait),
		Seconds(c.Workers.GangPeer), Seconds(c.Workers.Cancel)}
	s.StateLimits = StateLimits{c.State.RPS, c.State.WriteRPS, int(c.State.ValueKB * 1024), c.State.TxnOps}
	next := c.State.Next
	if !(next.WriteRPS >= 0 && next.ValueKB >= 0 && next.TxnOps >= 0) {
		return s, "cluster.state.next", "has a negative limit"
	}
	if next.TxnOps > 0 && next.TxnOps < minTxnOps {
		return s, "cluster.state.next.txn_ops", fmt.Sprintf("must be at least %d", minTxnOps)
	}
	s.AnnouncedStateLimits = StateLimits{WriteRate: next.WriteRPS, MaxValueBytes: int(next.ValueKB * 1024), MaxTxnOps: next.TxnOps}
	s.CloudLimits = CloudLimits{c.Cloud.RPS, Seconds(c.Cloud.ListLag)}
	s.ProcessLimits = ProcessLimits{c.Limits.CPUShare, int64(c.Limits.RAM * (1 << 20)), c.Limits.Conns}
	return s, "", ""
}
