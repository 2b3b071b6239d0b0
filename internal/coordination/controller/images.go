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
func (c *Controller) recordImages(shard *replica.Shard, now time.Time) {
	if shard.RecordingImages || now.Sub(shard.ImagesRecordedAt) < imageRecordInterval {
		return
	}
	shard.ImagesRecordedAt = now
	for range replica.ImageParts {
		shard.ImagePart = (shard.ImagePart + 1) % replica.ImageParts
		record := replica.ImagesOfPart(shard, shard.ImagePart, c.settings.RecordLimits().MaxValueBytes)
		key := records.ImagePrefix + shard.Name + "/" + strconv.Itoa(shard.ImagePart)
		if replica.SameImages(record, c.view.ImageRecords[key]) {
			continue
		}
		shard.RecordingImages = true
		c.commit(kv.PriorityBackground, []kv.Compare{{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, {Key: key, Version: c.view.Versions[key]}},
			[]kv.Op{{Key: key, Value: record}}, 5*time.Second, func(error) { shard.RecordingImages = false })
		return
	}
}
