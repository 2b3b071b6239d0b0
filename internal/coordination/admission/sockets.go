package admission

// SocketBudget is the division of the sockets that a process may hold.
type SocketBudget struct {
	Public      int // connections of users and workers together
	Users       int // of the public ones, those that users may hold; further ones are refused
	KeepAlive   int // open public connections above which each is closed after its answer
	WorkerCalls int // outgoing calls to workers
	State       int // connections to state service and cloud
	Peers       int // connections to and from other controllers, and what the system needs
}

// Fixed parts of a socket budget, and the least and most of the divided ones.
const (
	stateSockets       = 24
	systemSockets      = 16
	socketsPerPeer     = 4
	minWorkerCalls     = 16
	maxWorkerCalls     = 300
	workerCallsDivisor = 4 // a quarter of the limit
	minPublic          = 8
	minUsers           = 4
	minKeepAlive       = 2
)

// DivideSockets divides a limit of open sockets. State service and peers have a fixed part.
// Users may hold five sixths of the public connections, so that workers, whose leases
// expire, connect when users have taken all of theirs. Connections are kept open up to
// three fifths of the public part, which prevents a controller that has taken over the
// machines of several from holding a socket for each machine and reaching its limit.
func DivideSockets(limit, peers int) SocketBudget {
	s := SocketBudget{State: stateSockets, Peers: systemSockets + socketsPerPeer*peers}
	s.WorkerCalls = max(minWorkerCalls, min(maxWorkerCalls, limit/workerCallsDivisor))
	s.Public = max(minPublic, limit-s.WorkerCalls-s.State-s.Peers)
	s.Users = max(minUsers, s.Public*5/6)
	s.KeepAlive = max(minKeepAlive, s.Public*3/5)
	return s
}
