package admission

// SocketBudget is how the sockets that a process may hold are shared out.
type SocketBudget struct {
	Public      int // for users' and workers' connections together
	Users       int // of these: a user's connection beyond this many is refused
	KeepAlive   int // beyond this many open ones each is closed once it is answered
	WorkerCalls int // for calls of its own to workers
	State       int // to state service and cloud
	Peers       int // to and from the other controllers, and what the system needs
}

// DivideSockets divides a limit. State service and peers have theirs whatever
// happens; of the public ones a sixth is beyond users' reach, so that workers, whose
// leases run out, get through when a crowd of users does not. Connections are kept only
// while there are few: one controller left with the machines of three held a socket for
// each of 1,800, and was at its limit.
func DivideSockets(limit, peers int) SocketBudget {
	s := SocketBudget{State: 24, Peers: 16 + 4*peers}
	s.WorkerCalls = max(16, min(300, limit/4))
	s.Public = max(8, limit-s.WorkerCalls-s.State-s.Peers)
	s.Users = max(4, s.Public*5/6)
	s.KeepAlive = max(2, s.Public*3/5)
	return s
}
