package health

// ShardSilence is one of the shards that a controller holds, as it hears its machines.
type ShardSilence struct {
	Home      bool // its own, not one that it has taken over
	Reporting int  // that have reported to this process
	Silent    int  // of those, silent for longer than a beat
	Lost      int  // of those, heard by it since it has the shard
}

// mostlySilent tells that nearly all of a shard's machines are silent together.
func (h ShardSilence) mostlySilent() bool {
	return h.Reporting >= minMachines && h.Silent*10 >= h.Reporting*8
}

// SelfIsolated tells that the silence of a shard's machines speaks for a fault of the
// controller's own links, so that they are not to be fenced for it. Of its own shard
// their silence together is enough. The machines of a shard that it has taken over may
// be silent for the reason for which their owner is; so they must have been heard since,
// and its own must be silent too. Without that, a controller that lost the workers while
// it stood in for another gave its own shard away and fenced a hundred machines of the
// other's.
func SelfIsolated(s ShardSilence, all []ShardSilence) bool {
	if !s.mostlySilent() {
		return false
	}
	if s.Home {
		return true
	}
	if s.Lost*2 < s.Silent {
		return false
	}
	for _, h := range all {
		if h.Reporting >= minMachines && !h.mostlySilent() {
			return false
		}
	}
	return true
}
