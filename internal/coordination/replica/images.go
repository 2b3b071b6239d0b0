package replica

import (
	"hash/fnv"
	"slices"
	"strconv"

	"madderslip/internal/storage/records"
)

// ImageParts is the number of image records of a shard, each of which lists the images of a
// part of the shard's machines.
const ImageParts = 4

// Estimated sizes, in bytes, of the parts of an encoded image record.
const (
	imageRecordBytes = 64 // a record without images and hosts
	imageNameBytes   = 30 // an image's entry, without its name
	imageHostBytes   = 6  // a host's entry, without its name
	imageIndexBytes  = 4  // one image in a host's entry
)

// imagePart returns the number of the part to which a host belongs.
func imagePart(host string) int {
	hash := fnv.New32a()
	hash.Write([]byte(host))
	return int(hash.Sum32() % ImageParts)
}

// ImagesOfPart returns the record of one part of a shard's machines and their images. The
// record ends before the machine with which its estimated size would exceed limit, in bytes.
func ImagesOfPart(shard *Shard, part, limit int) *records.ImageLocations {
	record := &records.ImageLocations{Hosts: make(map[string][]int)}
	index := make(map[string]int)
	size := imageRecordBytes
	for _, machine := range shard.Machines {
		if len(machine.Images) == 0 || imagePart(machine.Host) != part {
			continue
		}
		var list []int
		for _, cached := range machine.Images {
			i, ok := index[cached.Name]
			if !ok {
				i = len(record.Names)
				index[cached.Name] = i
				record.Names, record.SizesGB = append(record.Names, cached.Name), append(record.SizesGB, cached.SizeGB)
				size += len(cached.Name) + imageNameBytes
			}
			list = append(list, i)
		}
		if size += len(machine.Host) + imageHostBytes + imageIndexBytes*len(list); size > limit {
			break
		}
		record.Hosts[machine.Host] = list
	}
	return record
}

// SameImages reports whether two records list the same images on the same hosts, in any
// order. A nil b equals a record without hosts.
func SameImages(a, b *records.ImageLocations) bool {
	if b == nil || len(a.Hosts) != len(b.Hosts) {
		return b == nil && len(a.Hosts) == 0
	}
	for host, list := range a.Hosts {
		if len(list) != len(b.Hosts[host]) {
			return false
		}
		for _, i := range list {
			if !slices.ContainsFunc(b.Hosts[host], func(k int) bool { return b.Names[k] == a.Names[i] }) {
				return false
			}
		}
	}
	return true
}

// ApplyImages applies an image record to the machines that it lists, except those of a shard
// that this process owns: it tracks their images itself. A nil record changes nothing.
func (v *View) ApplyImages(key string, record *records.ImageLocations) {
	if record == nil {
		return
	}
	v.ImageRecords[key] = record
	for host := range record.Hosts {
		if machine := v.Machines[host]; machine != nil {
			v.restoreImages(machine)
		}
	}
}

// restoreImages sets a machine's images from the cached image records, unless the machine is
// no longer in use, or this process owns the machine's shard and tracks the images itself.
func (v *View) restoreImages(machine *Machine) {
	record := v.ImageRecords[records.ImagePrefix+machine.Record.Shard+"/"+strconv.Itoa(imagePart(machine.Host))]
	if record == nil || machine.Record.State != records.MachineInUse || v.Shard(machine.Record.Shard).FencingToken != 0 {
		return
	}
	machine.Images = machine.Images[:0]
	for _, i := range record.Hosts[machine.Host] {
		if i >= 0 && i < len(record.Names) && i < len(record.SizesGB) {
			machine.Images = append(machine.Images, records.CachedImage{Name: record.Names[i], SizeGB: record.SizesGB[i]})
		}
	}
}
