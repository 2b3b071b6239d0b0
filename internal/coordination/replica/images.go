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

func ImagesOfPart(s *Shard, part, limit int) *records.ImageLocations {
	rec := &records.ImageLocations{Hosts: make(map[string][]int)}
	index := make(map[string]int)
	size := 64
	for _, m := range s.Machines {
		if len(m.Images) == 0 || imagePart(m.Host) != part {
			continue
		}
		var list []int
		for _, u := range m.Images {
			i, ok := index[u.Name]
			if !ok {
				i = len(rec.Names)
				index[u.Name] = i
				rec.Names, rec.SizesGB = append(rec.Names, u.Name), append(rec.SizesGB, u.SizeGB)
				size += len(u.Name) + 30
			}
			list = append(list, i)
		}
		if size += len(m.Host) + 6 + 4*len(list); size > limit {
			break
		}
		rec.Hosts[m.Host] = list
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
func (v *View) ApplyImages(key string, r *records.ImageLocations) {
	if r == nil {
		return
	}
	v.ImageRecords[key] = r
	for host := range r.Hosts {
		if m := v.Machines[host]; m != nil {
			v.recallImages(m)
		}
	}
}

// recallImages looks a machine's images up in the records.
func (v *View) recallImages(m *Machine) {
	r := v.ImageRecords[records.ImagePrefix+m.Record.Shard+"/"+strconv.Itoa(imagePart(m.Host))]
	if r == nil || m.Record.State != "" || v.Shard(m.Record.Shard).FencingToken != 0 {
		return
	}
	m.Images = m.Images[:0]
	for _, i := range r.Hosts[m.Host] {
		if i >= 0 && i < len(r.Names) && i < len(r.SizesGB) {
			m.Images = append(m.Images, records.CachedImage{Name: r.Names[i], SizeGB: r.SizesGB[i]})
		}
	}
}
