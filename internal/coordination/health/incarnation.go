package health

// MessagePosition is the position of an agent's message in the order of the messages of one
// incarnation of its machine.
//
// A machine may restart under the same name almost at once: its tasks are gone, and its
// agent counts agent epochs and heartbeats from the start again. Positions order only the
// messages of one incarnation. Late messages of the former incarnation may still arrive, at
// higher positions than all messages of the present incarnation.
type MessagePosition struct {
	AgentEpoch, Sequence, FencingToken uint64
}

// Supersedes reports whether p was sent after other, if both are of the same incarnation.
func (p MessagePosition) Supersedes(other MessagePosition) bool {
	return p.AgentEpoch > other.AgentEpoch || (p.AgentEpoch == other.AgentEpoch && p.Sequence > other.Sequence)
}

// maxReordering is the largest number of sequence numbers by which a late heartbeat is
// expected to be behind answers that were sent after it and arrived before it.
const maxReordering = 4

// MayBeRestarted reports whether a heartbeat may be of a later incarnation than newest, the
// newest message of its machine: its fencing token is lower, or its position is lower by
// more than reordering in transit explains. An old message that arrives late looks the same,
// so the caller probes the machine for proof (see HasRestarted).
func MayBeRestarted(newest, heartbeat MessagePosition) bool {
	if heartbeat.Supersedes(newest) {
		return heartbeat.FencingToken < newest.FencingToken // the token of a running agent never decreases
	}
	return heartbeat.AgentEpoch < newest.AgentEpoch || heartbeat.FencingToken < newest.FencingToken || heartbeat.Sequence+maxReordering < newest.Sequence
}

// HasRestarted reports whether a machine's answer to a direct call proves that the machine has
// restarted. newest is the newest message that had been processed when the call was sent:
// within the same incarnation the answer would supersede that message and have no lower
// fencing token.
func HasRestarted(newest, answer MessagePosition) bool {
	return !answer.Supersedes(newest) || answer.FencingToken < newest.FencingToken
}

// Valid reports whether a message is certainly of the present incarnation. floor is the
// highest token that the former incarnation may have received, 0 if the machine never
// restarted: a message with a higher token cannot be of the former incarnation.
func (p MessagePosition) Valid(floor uint64) bool { return floor == 0 || p.FencingToken > floor }
