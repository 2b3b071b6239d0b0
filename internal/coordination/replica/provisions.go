package replica

import (
	"time"

	"madderslip/internal/storage/records"
)

// Provision is a request for machines; the cloud's answer to it is not recorded yet.
type Provision struct {
	Name          string
	Record        records.Provision
	Version       uint64    // 0: the request is not recorded yet
	Busy          bool      // a call or a commit for the request is in progress
	RetryAt       time.Time // earliest next call or commit for the request
	AnsweredHosts []string  // the machines in the cloud's answer, while the view is not complete up to Version
}

// MachineGroup is the machines that are recorded by one provision's record.
type MachineGroup struct {
	Hosts   []string
	Version uint64
}

// ApplyProvision applies a provision's record. Once the record names machines, it is the
// record of each of them, until the machine is returned and gets a record of its own.
func (v *View) ApplyProvision(name string, record *records.Provision, version uint64) {
	delete(v.Groups, name)
	switch {
	case record == nil:
		delete(v.Provisions, name)
	case len(record.Hosts) == 0:
		v.Provisions[name] = &Provision{Name: name, Record: *record, Version: version}
	default:
		delete(v.Provisions, name)
		v.Groups[name] = MachineGroup{record.Hosts, version}
		for i, host := range record.Hosts {
			if v.Machines[host] == nil {
				machine := &records.Machine{Shard: record.ShardOf(i), Type: record.Type, Zone: record.Zone, Spot: record.Spot, RentedAtMs: record.RequestedAtMs}
				v.ApplyMachine(host, machine, 0)
			}
		}
	}
}
