package controller

import (
	"strconv"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// Which machine holds which image is recorded, since an owner that does not
// know sends work to machines that must fetch for many seconds, and did so
// after every restart of a controller. It is advice, so a shard's machines share
// a few records: one for each machine took more of the state service's budget
// than all placements together.
const imageRecordInterval = 5 * time.Second // one part of a shard is recorded at a time

// recordImages records the images of the next part of a shard's machines, if
// they have changed.
func (n *Controller) recordImages(s *replica.Shard, now time.Time) {
	if s.RecordingImages || now.Sub(s.ImagesRecordedAt) < imageRecordInterval {
		return
	}
	s.ImagesRecordedAt = now
	for range replica.ImageParts {
		s.ImagePart = (s.ImagePart + 1) % replica.ImageParts
		rec := replica.ImagesOfPart(s, s.ImagePart, n.settings.RecordLimits().MaxValueBytes)
		key := records.ImagePrefix + s.Name + "/" + strconv.Itoa(s.ImagePart)
		if replica.SameImages(rec, n.view.ImageRecords[key]) {
			continue
		}
		s.RecordingImages = true
		n.commit(kv.PriorityBackground, []kv.Compare{{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, {Key: key, Version: n.view.Versions[key]}},
			[]kv.Op{{Key: key, Value: rec}}, 5*time.Second, func(error) { s.RecordingImages = false })
		return
	}
}
