package records

// CachedImage is an image in a machine's cache.
type CachedImage struct {
	Name   string
	SizeGB float64
}

// ImageLocations are the images that a part of a shard's machines have in their caches,
// for the shard's next owner. The owner writes it, on its fencing token and the version
// known. It is advice: a stale one costs a download.
type ImageLocations struct {
	Names   []string         `json:"n"`
	SizesGB []float64        `json:"g"` // by index of Names
	Hosts   map[string][]int `json:"m"` // indexes into Names by host, least recently used first
}
