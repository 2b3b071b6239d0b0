package records

// CachedImage is an image in a machine's cache.
type CachedImage struct {
	Name   string
	SizeGB float64
}

// ImageLocations lists the images in the caches of a part of a shard's machines, for the
// shard's next owner. The owner writes it, conditional on its fencing token and the known
// version. The record is a hint: a stale record costs an image download.
type ImageLocations struct {
	Names   []string         `json:"n"`
	SizesGB []float64        `json:"g"` // size of each image in Names, in the same order
	Hosts   map[string][]int `json:"m"` // the cached images of each host, as indexes into Names, least recently used first
}
