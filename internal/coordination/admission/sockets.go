package admission

// SocketBudget is the division of the sockets that a process may hold.
type SocketBudget struct {
	Public      int // connections of users and workers together
	Users       int // open public connections above which a new connection of a user is refused
	KeepAlive   int // open public connections above which a connection is closed after its response
	WorkerCalls int // outgoing calls to workers
	State       int // connections to the state service and the cloud
	Peers       int // connections to and from other controllers, and sockets that the process itself needs
}

// Fixed parts of a socket budget, and the bounds of the parts that depend on the limit.
const (
	stateSockets       = 24
	systemSockets      = 16
	socketsPerPeer     = 4
	minWorkerCalls     = 16
	maxWorkerCalls     = 300
	workerCallsDivisor = 4 // WorkerCalls is a quarter of the socket limit, within its bounds
	minPublic          = 8
	minUsers           = 4
	minKeepAlive       = 2
)

// DivideSockets divides a limit of open sockets. The parts for the state service and for
// each peer are fixed. Users are refused above five sixths of the public part, so that
// workers can still connect before their leases expire. Idle connections are kept open up to
// three fifths of the public part, which prevents a controller that has taken over the
// machines of several others from holding a socket for each machine and reaching the limit.
func DivideSockets(limit, peers int) SocketBudget {
	s := SocketBudget{State: stateSockets, Peers: systemSockets + socketsPerPeer*peers}
	s.WorkerCalls = max(minWorkerCalls, min(maxWorkerCalls, limit/workerCallsDivisor))
	s.Public = max(minPublic, limit-s.WorkerCalls-s.State-s.Peers)
	s.Users = max(minUsers, s.Public*5/6)
	s.KeepAlive = max(minKeepAlive, s.Public*3/5)
	return s
}
