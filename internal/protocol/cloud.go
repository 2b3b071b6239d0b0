package protocol

import "time"

// MachineType is a kind of machine that the cloud rents, as the cloud's API describes it to
// controllers.
type MachineType struct {
	Name          string   `json:"label"`
	CPUs          float64  `json:"cpus"`
	GPUs          float64  `json:"cards"`
	MemoryGB      float64  `json:"memGb"`
	ImageCacheGB  float64  `json:"cacheGb"`     // room for container images
	ImagePullGBps float64  `json:"pullGbPerS"`  // gigabytes a second
	Price         float64  `json:"hourly"`      // of an hour on demand
	SpotPrice     float64  `json:"marketPrice"` // of an hour as a spot machine
	BootS         float64  `json:"bootS"`       // seconds, see BootTime
	Zones         []string `json:"halls"`       // where it is offered
}

// BootTime is the nominal time from the rental to the first heartbeat.
func (t *MachineType) BootTime() time.Duration { return Seconds(t.BootS) }

// MachineTypes is sent by the cloud's API to controllers: what PathMachineTypes answers.
type MachineTypes struct {
	Types []MachineType `json:"flavours"`
}

// ProvisionRequest is sent by controllers to the cloud's API at PathMachines: a request for
// machines of one kind. The same name asks for the same machines again; it is never used
// for others.
type ProvisionRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"flavour"`
	Zone  string `json:"hall"`
	Spot  bool   `json:"loaner"`
	Count int    `json:"howMany"`
}

// HostList names machines: sent by the cloud's API to controllers as the answer to a
// ProvisionRequest, and by controllers to PathReturnMachines.
type HostList struct {
	Hosts []string `json:"hosts"`
}

// MachineFailed is the phase of a listed machine that has failed; the others count as usable.
const MachineFailed = "failed"

// ListedMachine is a machine in the list that the cloud's API sends to controllers.
type ListedMachine struct {
	Host    string  `json:"ref"`
	Address string  `json:"address"` // of the worker's agent
	Type    string  `json:"flavour"`
	Zone    string  `json:"hall"`
	Spot    bool    `json:"loaner"`
	Phase   string  `json:"phase"`
	AgeS    float64 `json:"heldS"` // seconds since it was rented
}

// MachineList is sent by the cloud's API to controllers: one page of its list, which may
// lag by CloudLimits.ListLag.
type MachineList struct {
	Hosts     []ListedMachine `json:"hosts"`
	Truncated bool            `json:"truncated"` // more follow on another page
}
