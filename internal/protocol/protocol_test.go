package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validSubmission = `{"ref":"wk-000412","jobclass":"train","owner":"vision","shape":"group","rank":"high","shards":16,
 "cpus":8.0,"cards":1.0,"memGb":64.0,"bundle":"img-07","sizeGb":6.2,"flavours":["g8"],"hall":null,"samePlace":true,
 "spread":false,"loaner":true,"expectS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0,"news":1}`

func TestParseSubmission(t *testing.T) {
	s, err := ParseSubmission([]byte(validSubmission))
	if err != nil || s.RunEstimate() != 4*time.Minute || s.Deadline() != 15*time.Minute || s.Zone != "" || !s.SameZone || s.Priority() != 2 {
		t.Fatalf("%+v %v", s, err)
	}
	faults := map[string][2]string{
		"no id":          {`"ref":"wk-000412",`, ``},
		"bad id":         {`wk-000412`, `wk-00 412`},
		"null count":     {`"shards":16`, `"shards":null`},
		"no tasks":       {`"shards":16`, `"shards":0`},
		"too many":       {`"shards":16`, `"shards":100001`},
		"half a task":    {`"shards":16`, `"shards":1.5`},
		"text amount":    {`"cpus":8.0`, `"cpus":"8"`},
		"negative":       {`"memGb":64.0`, `"memGb":-1`},
		"overflow":       {`"sizeGb":6.2`, `"sizeGb":1e999`},
		"unknown shape":  {`"group"`, `"ring"`},
		"unknown rank":   {`"high"`, `"highest"`},
		"negative due":   {`"dueS":900.0`, `"dueS":-5`},
		"types no list":  {`["g8"]`, `"g8"`},
		"not an object":  {validSubmission, `[1]`},
		"null":           {validSubmission, `null`},
		"not JSON":       {validSubmission, `{"ref":`},
		"boolean as int": {`"samePlace":true`, `"samePlace":1`},
		"awaits text":    {`"news":1`, `"awaits":"wk-1"`},
		"awaits object":  {`"news":1`, `"awaits":{"wk-1":true}`},
		"awaits null id": {`"news":1`, `"awaits":["wk-1",null]`},
		"awaits bad id":  {`"news":1`, `"awaits":["wk-1","job-2"]`},
		"awaits itself":  {`"news":1`, `"awaits":["wk-000412"]`},
	}
	for name, f := range faults {
		body := strings.Replace(validSubmission, f[0], f[1], 1)
		if _, err := ParseSubmission([]byte(body)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// TestDependencies checks that the list of dependencies may be missing or null, and that it
// is sorted and has no duplicates.
func TestDependencies(t *testing.T) {
	for with, want := range map[string]string{
		`"news":1`:                               "",
		`"awaits":null`:                          "",
		`"awaits":[]`:                            "",
		`"awaits":["wk-2","wk-000001"]`:          "wk-000001 wk-2",
		`"awaits":["wk-2","wk-1","wk-2","wk-1"]`: "wk-1 wk-2",
	} {
		s, err := ParseSubmission([]byte(strings.Replace(validSubmission, `"news":1`, with, 1)))
		if err != nil || strings.Join(s.Dependencies, " ") != want {
			t.Errorf("%s: %v %v", with, s, err)
		}
	}
}

// TestFieldsThatMayNotBeLeftOut checks that the optional fields may be missing or null, and
// that no other field may be either. A submission without samePlace was accepted, and its
// tasks ran in zones that its user did not want.
func TestFieldsThatMayNotBeLeftOut(t *testing.T) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal([]byte(validSubmission), &all); err != nil {
		t.Fatal(err)
	}
	delete(all, "news") // ParseSubmission ignores this key, because it is not a key of a submission
	for key := range all {
		optional := key == "flavours" || key == "hall" || key == "dueS"
		for _, value := range []json.RawMessage{nil, json.RawMessage("null")} {
			part := maps.Clone(all)
			if delete(part, key); value != nil {
				part[key] = value
			}
			body, err := json.Marshal(part)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ParseSubmission(body); (err == nil) != optional || (err != nil && !errors.Is(err, ErrMalformed)) {
				t.Errorf("%s as %q: %v", key, value, err)
			}
		}
	}
}

func TestParseJobIDReadsAnyRetry(t *testing.T) {
	if ref, err := ParseJobID([]byte(`{"ref":"wk-1","shards":"many"}`)); err != nil || ref != "wk-1" {
		t.Fatal(ref, err)
	}
	for _, body := range []string{``, `[]`, `{"ref":7}`, `{"ref":"x"}`, `{"ref":"wk-"}`, `"wk-1"`} {
		if _, err := ParseJobID([]byte(body)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", body, err)
		}
	}
}

func TestRoutes(t *testing.T) {
	cases := []struct {
		method, target string
		route          Route
		id             string
	}{
		{"POST", "/submissions", RouteSubmit, ""}, {"GET", "/submissions", RouteWrongMethod, ""},
		{"GET", "/submissions/wk-1", RouteQuery, "wk-1"}, {"GET", "/submissions/wk-1?x=1", RouteQuery, "wk-1"},
		{"POST", "/submissions/wk-1/abort", RouteCancel, "wk-1"}, {"GET", "/submissions/wk-1/abort", RouteWrongMethod, ""},
		{"DELETE", "/submissions/wk-1", RouteWrongMethod, ""}, {"GET", "/submissions/", RouteNotFound, ""},
		{"GET", "/submissions/a/b", RouteNotFound, ""}, {"POST", "/v1/report", RouteHeartbeat, ""},
		{"GET", "/ready", RouteReady, ""}, {"GET", "/readyz", RouteNotFound, ""},
	}
	for _, c := range cases {
		if route, id := MatchRoute(c.method, c.target); route != c.route || id != c.id {
			t.Errorf("%s %s: %v %q", c.method, c.target, route, id)
		}
	}
}

const validSettings = `node = "a"
area = "z"
public_addr = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
later = "unknown keys are ignored"
[[others]]
node = "b"
area = "z"
endpoint = "127.0.0.1:3"
[outside]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[cluster]
zones = ["z"]
[cluster.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 40.0
[cluster.state]
rps = 100.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 12
[cluster.cloud]
rps = 8.0
list_lag_s = 5.0
[cluster.machine_limits]
cpu_share = 0.3
ram_mb = 234.0
max_connections = 1800
`

func TestSettingsNameFileKeyAndReason(t *testing.T) {
	load := func(text string) (Settings, string, error) {
		file := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := LoadSettings(file)
		return s, file, err
	}
	s, _, err := load(validSettings)
	if err != nil || s.Workers.LeaseDuration != 10*time.Second || s.StateLimits.MaxValueBytes != 8192 || s.NodeCount != 2 {
		t.Fatalf("%+v %v", s, err)
	}
	for _, c := range [][3]string{
		{`node = "a"`, ``, "node: is missing"},
		{`lease_s = 10.0`, `lease_s = -1.0`, "cluster.workers.lease_s"},
		{`lease_s = 10.0`, `lease_s = "long"`, ": cluster.workers.lease_s: "},
		{`"127.0.0.1:3"`, `"peer.example:3"`, "others[0].endpoint"},
		{`node = "b"`, `node = "a"`, "others[0].node"},
		{`zones = ["z"]`, `zones = []`, "cluster.zones"},
		{`txn_ops = 12`, `txn_ops = 1`, "cluster.state.txn_ops"},
		{`txn_ops = 12`, "txn_ops = 12\n[cluster.state.next]\ntxn_ops = 2", "cluster.state.next.txn_ops"},
		{`txn_ops = 12`, "txn_ops = 12\n[cluster.state.next]\nvalue_kb = -2.0", "cluster.state.next"},
		{`txn_ops = 12`, "txn_ops = 12\n[cluster.state.next]\nvalue_kb = nan", "cluster.state.next"},
	} {
		_, file, err := load(strings.Replace(validSettings, c[0], c[1], 1))
		var se *SettingError
		if !errors.As(err, &se) || !strings.HasPrefix(err.Error(), file+": ") || !strings.Contains(err.Error(), c[2]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v", fmt.Sprint(c), err)
		}
	}
}

// TestSettingsFileIsMissing checks that the error for an unreadable settings file wraps its
// cause, so that errors.Is finds it.
func TestSettingsFileIsMissing(t *testing.T) {
	file := filepath.Join(t.TempDir(), "none.toml")
	_, err := LoadSettings(file)
	var fault *SettingError
	if !errors.Is(err, fs.ErrNotExist) || !errors.As(err, &fault) || fault.File != file || fault.Key != "file" {
		t.Errorf("%v", err)
	}
}

// TestRecordLimits checks that records observe the announced limits as well as the present
// ones.
func TestRecordLimits(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.toml")
	text := strings.Replace(validSettings, "txn_ops = 12", "txn_ops = 12\n[cluster.state.next]\nvalue_kb = 2.0\nwrite_rps = 21.0", 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := LoadSettings(file)
	if l := s.RecordLimits(); err != nil || l != (StateLimits{RequestRate: 100, WriteRate: 21, MaxValueBytes: 2048, MaxTxnOps: 12}) {
		t.Errorf("%+v, %v", l, err)
	}
	if placements := s.RecordLimits().MaxPlacements(); placements < 60 || placements*24+384 > 2048 {
		t.Errorf("%d placements in 2 KB", placements)
	}
	if placements := s.StateLimits.MaxPlacements(); placements != 199 {
		t.Errorf("%d placements in 8 KB, wanted 199", placements)
	}
}

// TestContradictoryTeamsAreWarnings checks that contradictory settings of a guest team do not
// prevent the start: the limit applies, and a warning describes the contradiction.
func TestContradictoryTeamsAreWarnings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.toml")
	text := validSettings + `
[[cluster.teams]]
name = "guest"
cpus = 40.0
cpus_max = 20.0
[[cluster.teams]]
name = "guest"
cpus = 10.0
`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := LoadSettings(file)
	if err != nil || len(s.Warnings) != 2 || !strings.Contains(s.Warnings[0], "above its limit of 20") || !strings.Contains(s.Warnings[1], "twice") || s.Teams["guest"].GuaranteedCPUs != 10 {
		t.Errorf("%v %q %+v", err, s.Warnings, s.Teams["guest"])
	}
}
