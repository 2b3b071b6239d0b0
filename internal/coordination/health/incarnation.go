package health

// Incarnation is the position of a worker's message in the order of that worker's messages.
//
// A machine may restart under its name within a moment: its tasks are gone, and its worker
// counts agent epochs and heartbeats from the start. Positions order the messages of one
// incarnation only. Late messages of the former incarnation may still arrive, and look
// newer than all that the present one sends.
type Incarnation struct {
	AgentEpoch, Sequence, FencingToken uint64
}

// Supersedes reports whether i was sent after other, if both are of the same incarnation.
func (i Incarnation) Supersedes(other Incarnation) bool {
	return i.AgentEpoch > other.AgentEpoch || (i.AgentEpoch == other.AgentEpoch && i.Sequence > other.Sequence)
}

// maxReordering is by how many sequence numbers a heartbeat may fall behind answers that
// were sent later and arrived sooner.
const maxReordering = 4

// MayBeRestarted reports whether a heartbeat could be of a later incarnation than the newest
// message of its machine: its position is lower, by more than a heartbeat falls behind in
// transit. An old message looks the same, so this proves nothing; the caller probes the
// machine (see HasRestarted).
func MayBeRestarted(newest, heartbeat Incarnation) bool {
	if heartbeat.Supersedes(newest) {
		return heartbeat.FencingToken < newest.FencingToken // a worker never forgets a token while it runs
	}
	return heartbeat.AgentEpoch < newest.AgentEpoch || heartbeat.FencingToken < newest.FencingToken || heartbeat.Sequence+maxReordering < newest.Sequence
}

// HasRestarted reports whether a machine's answer to a direct call proves that the machine
// has restarted. newest is the newest message that had been processed when the call was
// sent: within the same incarnation the answer would supersede it and show no lower token.
func HasRestarted(newest, answer Incarnation) bool {
	return !answer.Supersedes(newest) || answer.FencingToken < newest.FencingToken
}

// Valid reports whether a message may be taken for one of the present incarnation. floor is
// the highest token that the former incarnation may have seen, 0 if the machine never
// restarted: only a message with a higher token is certainly not of the former one.
func (i Incarnation) Valid(floor uint64) bool { return floor == 0 || i.FencingToken > floor }
