package controller

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// Which machine holds which image is recorded, since an owner that does not
// know sends work to machines that must fetch for many seconds, and did so
// after every restart of a controller. It is advice, so a shard's machines share
// a few records: one for each machine took more of the state service's budget
// than all placements together.
const (
	imageParts = 4
	imageGap   = 5 * time.Second // one part of a shard is recorded at a time
)

// holds tells whether a machine's cache holds an image, as far as known.
func (m *machine) holds(image string) bool {
	return slices.ContainsFunc(m.images, func(u records.CachedImage) bool { return u.Name == image })
}

func (m *machine) touchImage(name string, gb, cache float64) {
	m.images = slices.DeleteFunc(m.images, func(u records.CachedImage) bool { return u.Name == name })
	m.images = append(m.images, records.CachedImage{Name: name, SizeGB: gb})
	total := 0.0
	for _, u := range m.images {
		total += u.SizeGB
	}
	for len(m.images) > 1 && cache > 0 && total > cache {
		total -= m.images[0].SizeGB
		m.images = m.images[1:]
	}
}

func imagePart(host string) int {
	h := fnv.New32a()
	h.Write([]byte(host))
	return int(h.Sum32() % imageParts)
}

// noteImages records the images of the next part of a shard's machines, if
// they have changed.
func (n *Controller) noteImages(s *shard, now time.Time) {
	if s.noting || now.Sub(s.noted) < imageGap {
		return
	}
	s.noted = now
	for range imageParts {
		s.part = (s.part + 1) % imageParts
		rec := imagesOf(s, s.part, n.cfg.RecordLimits().MaxValueBytes)
		key := records.ImagePrefix + s.name + "/" + strconv.Itoa(s.part)
		if sameImages(rec, n.imageRecs[key]) {
			continue
		}
		s.noting = true
		n.commit(kv.PriorityBackground, []kv.Compare{{Key: records.ShardPrefix + s.name, Version: s.token}, {Key: key, Version: n.stamps[key]}},
			[]kv.Op{{Key: key, Value: rec}}, 5*time.Second, func(error) { s.noting = false })
		return
	}
}

func imagesOf(s *shard, part, limit int) *records.ImageLocations {
	rec := &records.ImageLocations{Hosts: make(map[string][]int)}
	index := make(map[string]int)
	size := 64
	for _, m := range s.machines {
		if len(m.images) == 0 || imagePart(m.host) != part {
			continue
		}
		var list []int
		for _, u := range m.images {
			i, ok := index[u.Name]
			if !ok {
				i = len(rec.Names)
				index[u.Name] = i
				rec.Names, rec.SizesGB = append(rec.Names, u.Name), append(rec.SizesGB, u.SizeGB)
				size += len(u.Name) + 30
			}
			list = append(list, i)
		}
		if size += len(m.host) + 6 + 4*len(list); size > limit {
			break
		}
		rec.Hosts[m.host] = list
	}
	return rec
}

// sameImages compares what is held, not in which order it was used.
func sameImages(a, b *records.ImageLocations) bool {
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

// storeImages tells machines what they hold, unless this process knows better.
func (n *Controller) storeImages(key string, r *records.ImageLocations) {
	if r == nil {
		return
	}
	n.imageRecs[key] = r
	for host := range r.Hosts {
		if m := n.machines[host]; m != nil {
			n.recallImages(m)
		}
	}
}

// recallImages looks a machine's images up in the records.
func (n *Controller) recallImages(m *machine) {
	r := n.imageRecs[records.ImagePrefix+m.rec.Shard+"/"+strconv.Itoa(imagePart(m.host))]
	if r == nil || m.rec.State != "" || n.shard(m.rec.Shard).token != 0 {
		return
	}
	m.images = m.images[:0]
	for _, i := range r.Hosts[m.host] {
		if i >= 0 && i < len(r.Names) && i < len(r.SizesGB) {
			m.images = append(m.images, records.CachedImage{Name: r.Names[i], SizeGB: r.SizesGB[i]})
		}
	}
}
