package protocol

import "time"

// MachineType describes a machine type that the cloud rents out, as the cloud's API sends it
// to controllers.
type MachineType struct {
	Name          string   `json:"label"`
	CPUs          float64  `json:"cpus"`
	GPUs          float64  `json:"cards"`
	MemoryGB      float64  `json:"memGb"`
	ImageCacheGB  float64  `json:"cacheGb"`     // space for container images
	ImagePullGBps float64  `json:"pullGbPerS"`  // speed of image downloads in gigabytes per second
	Price         float64  `json:"hourly"`      // on-demand price per hour
	SpotPrice     float64  `json:"marketPrice"` // spot price per hour
	BootS         float64  `json:"bootS"`       // nominal boot time in seconds, see BootTime
	Zones         []string `json:"halls"`       // zones in which the type is offered
}

// BootTime returns the nominal time from the rental to the first heartbeat.
func (t *MachineType) BootTime() time.Duration { return Seconds(t.BootS) }

// MachineTypes is the cloud's response to a request of PathMachineTypes.
type MachineTypes struct {
	Types []MachineType `json:"flavours"`
}

// ProvisionRequest is sent by controllers to the cloud's API at PathMachines. It requests
// machines of one type, zone and pricing. Name makes the request idempotent: a repeated
// request of the same name is for the same machines, and no name is reused for others.
type ProvisionRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"flavour"`
	Zone  string `json:"hall"`
	Spot  bool   `json:"loaner"`
	Count int    `json:"howMany"`
}

// HostList names machines. It is the cloud's response to a ProvisionRequest, and controllers
// send it to PathReturnMachines.
type HostList struct {
	Hosts []string `json:"hosts"`
}

// MachineFailed is the phase of a listed machine that has failed. Machines in any other
// phase count as usable.
const MachineFailed = "failed"

// ListedMachine is an entry of a MachineList.
type ListedMachine struct {
	Host    string  `json:"ref"`
	Address string  `json:"address"` // address of the worker's agent
	Type    string  `json:"flavour"`
	Zone    string  `json:"hall"`
	Spot    bool    `json:"loaner"`
	Phase   string  `json:"phase"`
	AgeS    float64 `json:"heldS"` // seconds since the machine was rented
}

// MachineList is sent by the cloud's API to controllers. It is one page of the list of
// rented machines, which may be out of date by up to CloudLimits.ListLag.
type MachineList struct {
	Hosts     []ListedMachine `json:"hosts"`
	Truncated bool            `json:"truncated"` // further pages follow
}
