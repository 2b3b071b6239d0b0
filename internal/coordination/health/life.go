package health

// A machine may begin again under its name: it is back within a moment, its tasks
// are gone, and its worker counts sessions and reports from the start. The protocol
// orders the accounts of one life only, and messages of the former life may still
// arrive, which look newer than all that the present one says.

// Incarnation is what a worker's message says of its own place in the order.
type Incarnation struct {
	AgentEpoch, Sequence, FencingToken uint64
}

// Supersedes tells that a was made after b, both in the same life.
func (a Incarnation) Supersedes(b Incarnation) bool {
	return a.AgentEpoch > b.AgentEpoch || (a.AgentEpoch == b.AgentEpoch && a.Sequence > b.Sequence)
}

// maxReordering is by how much a report may be behind answers that were faster.
const maxReordering = 4

// MayBeRestarted tells that a report could be of a later life than the newest account of
// its machine: it counts lower, and by more than a report falls behind on its way.
// It could as well be an old message, so it proves nothing; the machine is asked.
func MayBeRestarted(newest, report Incarnation) bool {
	if report.Supersedes(newest) {
		return report.FencingToken < newest.FencingToken // a worker never forgets a token while it lives
	}
	return report.AgentEpoch < newest.AgentEpoch || report.FencingToken < newest.FencingToken || report.Sequence+maxReordering < newest.Sequence
}

// HasRestarted tells from a machine's answer to a direct question that it has begun
// again. newest is the newest account that had been taken when the question was
// sent: in the same life the answer would be newer, and show no lower token.
func HasRestarted(newest, answer Incarnation) bool {
	return !answer.Supersedes(newest) || answer.FencingToken < newest.FencingToken
}

// Valid tells whether an account may be taken for a machine that has begun again
// since the token floor was shown to it: only what shows a higher one can't be of
// its former life.
func (a Incarnation) Valid(floor uint64) bool { return floor == 0 || a.FencingToken > floor }
