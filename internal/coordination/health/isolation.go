package health

// ShardSilence counts the machines of one shard that a controller acts for, by when that
// controller last heard from them.
type ShardSilence struct {
	Home      bool // the controller's own shard, not one that it has taken over
	Reporting int  // machines that have sent a heartbeat to this process
	Silent    int  // of the reporting ones, those silent for longer than the timeout
	Lost      int  // of the silent ones, those heard since the controller owns the shard
}

// mostlySilent reports whether nearly all of the shard's machines are silent.
func (s ShardSilence) mostlySilent() bool { return mostlySilent(s.Silent, s.Reporting) }

// SelfIsolated reports whether the silence of a shard's machines indicates a fault of the
// controller's own network links, so that these machines must not be fenced for it. all
// lists every shard that the controller acts for, the shard itself included.
//
// For the home shard it is enough that nearly all machines are silent. The machines of a
// shard that was taken over may be silent for the reason for which their former owner
// failed. So at least half of the silent ones must have been heard since the takeover, and
// every other shard with enough machines must be silent too. This prevents a controller
// that loses its links while it acts for a failed peer from giving its home shard away and
// fencing all machines of the peer's shard.
func SelfIsolated(s ShardSilence, all []ShardSilence) bool {
	if !s.mostlySilent() {
		return false
	}
	if s.Home {
		return true
	}
	heardSinceTakeover := s.Lost*2 >= s.Silent
	if !heardSinceTakeover {
		return false
	}
	for _, other := range all {
		if other.Reporting >= minMachines && !other.mostlySilent() {
			return false
		}
	}
	return true
}
