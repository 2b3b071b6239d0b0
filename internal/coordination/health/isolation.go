package health

// ShardSilence counts the silent machines of one shard that a controller acts for. A machine
// is silent if its last heartbeat or answer to a probe arrived longer ago than a timeout.
type ShardSilence struct {
	Home      bool // the shard is the controller's home shard, and was not taken over from another controller
	Reporting int  // machines from which this process has received a heartbeat or an answer
	Silent    int  // machines counted in Reporting that have been silent for longer than the timeout
	Lost      int  // machines counted in Silent that were in contact after the controller acquired the shard
}

// mostlySilent reports whether nearly all of the shard's machines are silent.
func (s ShardSilence) mostlySilent() bool { return mostlySilent(s.Silent, s.Reporting) }

// SelfIsolated reports whether the silence of a shard's machines indicates a fault of the
// controller's own network links, so that the machines must not be fenced for their silence.
// all lists every shard that the controller acts for, the shard itself included.
//
// For the home shard it is enough that nearly all machines are silent. The machines of a shard
// that was taken over may be silent for the reason for which their former owner failed. So at
// least half of the silent machines must have been in contact since the takeover, and every
// other shard with at least minMachines machines must be silent too. Without the rule for
// shards that were taken over, a controller that loses its links while it acts for a failed
// peer would give its home shard away and fence all machines of the peer's shard.
func SelfIsolated(s ShardSilence, all []ShardSilence) bool {
	if !s.mostlySilent() {
		return false
	}
	if s.Home {
		return true
	}
	inContactSinceTakeover := s.Lost*2 >= s.Silent
	if !inContactSinceTakeover {
		return false
	}
	for _, other := range all {
		if other.Reporting >= minMachines && !other.mostlySilent() {
			return false
		}
	}
	return true
}
