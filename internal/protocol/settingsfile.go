package protocol

import (
	"errors"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// wireSettings is the settings file with its own names and units; see Settings for the
// meaning. Keys that end in _s are in seconds, in _ms in milliseconds, in _kb and _mb in units
// of 1024 and 1024*1024 bytes; rps is requests per second. The sections have anonymous types
// because the TOML library's errors, which operators read, contain the type of a section.
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

// SettingError is an error in a settings file. Its text is one line with the file, the key
// and the reason.
type SettingError struct {
	File   string
	Key    string // dotted, with an index for lists; "file" or "syntax" for the file as a whole
	Reason string
	Cause  error // cause of a failure to read or parse the file; nil if a value is invalid
}

func (e *SettingError) Error() string { return e.File + ": " + e.Key + ": " + e.Reason }

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Cause }

// LoadSettings reads and validates a settings file. Unknown keys are ignored. Its errors are
// of type *SettingError.
func LoadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &SettingError{File: path, Key: "file", Reason: err.Error(), Cause: err}
	}
	var wire wireSettings
	if err := toml.Unmarshal(raw, &wire); err != nil {
		return Settings{}, &SettingError{File: path, Key: keyOfTOMLError(err), Reason: err.Error(), Cause: err}
	}
	settings, fault := wire.settings()
	if fault != nil {
		fault.File = path
		return Settings{}, fault
	}
	return settings, nil
}

// keyOfTOMLError returns the key at which parsing failed, or "syntax" if the error names no
// key.
func keyOfTOMLError(err error) string {
	var parseError toml.ParseError
	if errors.As(err, &parseError) && parseError.LastKey != "" {
		return parseError.LastKey
	}
	// For a value of the wrong type, the library names the key only in the error's text.
	if _, rest, ok := strings.Cut(err.Error(), `(last key "`); ok {
		key, _, _ := strings.Cut(rest, `"`)
		return key
	}
	return "syntax"
}
