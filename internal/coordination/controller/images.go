package controller

import (
	"strconv"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// The images on each machine are recorded. Without the records a shard owner would, after
// every restart of a controller, place tasks on machines that fetch the image for many
// seconds. The records are advisory, so the machines of a shard share a few of them: one
// record for each machine would take more of the state service's request budget than all
// placements together.
const (
	imageRecordInterval = 5 * time.Second // time between the writes of the image records of two parts of a shard
	imageCommitTimeout  = 5 * time.Second
)

// recordImages commits the image record of the next part of a shard's machines whose images
// have changed.
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
		c.commit(kv.PriorityBackground, []kv.Compare{ownedCompare(shard), {Key: key, Version: c.view.Versions[key]}},
			[]kv.Op{{Key: key, Value: record}}, imageCommitTimeout, func(error) { shard.RecordingImages = false })
		return
	}
}
