package replica

import (
	"hash/fnv"
	"slices"
	"strconv"

	"madderslip/internal/storage/records"
)

// ImageParts is into how many records the images of a shard's machines are divided.
const ImageParts = 4

func imagePart(host string) int {
	h := fnv.New32a()
	h.Write([]byte(host))
	return int(h.Sum32() % ImageParts)
}

func ImagesOfPart(shard *Shard, part, limit int) *records.ImageLocations {
	rec := &records.ImageLocations{Hosts: make(map[string][]int)}
	index := make(map[string]int)
	size := 64
	for _, machine := range shard.Machines {
		if len(machine.Images) == 0 || imagePart(machine.Host) != part {
			continue
		}
		var list []int
		for _, cached := range machine.Images {
			i, ok := index[cached.Name]
			if !ok {
				i = len(rec.Names)
				index[cached.Name] = i
				rec.Names, rec.SizesGB = append(rec.Names, cached.Name), append(rec.SizesGB, cached.SizeGB)
				size += len(cached.Name) + 30
			}
			list = append(list, i)
		}
		if size += len(machine.Host) + 6 + 4*len(list); size > limit {
			break
		}
		rec.Hosts[machine.Host] = list
	}
	return rec
}

// SameImages compares what is held, not in which order it was used.
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

// ApplyImages tells machines what they hold, unless this process knows better.
func (v *View) ApplyImages(key string, record *records.ImageLocations) {
	if record == nil {
		return
	}
	v.ImageRecords[key] = record
	for host := range record.Hosts {
		if machine := v.Machines[host]; machine != nil {
			v.recallImages(machine)
		}
	}
}

// recallImages looks a machine's images up in the records.
func (v *View) recallImages(machine *Machine) {
	record := v.ImageRecords[records.ImagePrefix+machine.Record.Shard+"/"+strconv.Itoa(imagePart(machine.Host))]
	if record == nil || machine.Record.State != "" || v.Shard(machine.Record.Shard).FencingToken != 0 {
		return
	}
	machine.Images = machine.Images[:0]
	for _, i := range record.Hosts[machine.Host] {
		if i >= 0 && i < len(record.Names) && i < len(record.SizesGB) {
			machine.Images = append(machine.Images, records.CachedImage{Name: record.Names[i], SizeGB: record.SizesGB[i]})
		}
	}
}
