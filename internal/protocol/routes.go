package protocol

import "strings"

// Route names a request of the public address.
type Route int

// The routes, and the two ways for a request to match none.
const (
	RouteNotFound    Route = iota
	RouteWrongMethod       // the path is known, the method is not its own
	RouteSubmit            // a user submits a job
	RouteQuery             // a user asks for a job's status
	RouteCancel            // a user cancels a job
	RouteHeartbeat         // a worker's agent reports
	RouteReady             // the load balancer's health check
)

// routes are the public routes. Between prefix and suffix stands a job id where withID
// says so; otherwise the path is the prefix alone.
var routes = []struct {
	method, prefix, suffix string
	withID                 bool
	route                  Route
}{
	{"POST", "/submissions", "", false, RouteSubmit},
	{"POST", "/submissions/", "/abort", true, RouteCancel},
	{"GET", "/submissions/", "", true, RouteQuery},
	{"POST", "/v1/report", "", false, RouteHeartbeat},
	{"GET", "/ready", "", false, RouteReady},
}

// MatchRoute finds the route of a request and the id in its path, if it has one. What
// follows a question mark in the target does not count.
func MatchRoute(method, target string) (Route, string) {
	path, _, _ := strings.Cut(target, "?")
	found := RouteNotFound
	for _, r := range routes {
		id, matches := "", path == r.prefix
		if r.withID {
			id, matches = pathID(path, r.prefix, r.suffix)
		}
		if !matches {
			continue
		}
		if r.method == method {
			return r.route, id
		}
		found = RouteWrongMethod
	}
	return found, ""
}

// pathID returns the one segment between a prefix and a suffix, and reports whether the
// path has that form.
func pathID(path, prefix, suffix string) (string, bool) {
	rest, hasPrefix := strings.CutPrefix(path, prefix)
	id, hasSuffix := strings.CutSuffix(rest, suffix)
	return id, hasPrefix && hasSuffix && id != "" && !strings.Contains(id, "/")
}

// IsUserRequest reports whether a request comes from a user, not from a worker or the
// load balancer.
func IsUserRequest(method, target string) bool {
	route, _ := MatchRoute(method, target)
	return route != RouteHeartbeat && route != RouteReady
}

// Paths that controllers call, of a worker's agent.
const (
	PathCommands = "/commands" // takes a CommandRequest, answers with a Heartbeat
	PathStatus   = "/show"     // answers with a Heartbeat
)

// Paths that controllers call, of the cloud's API.
const (
	PathMachineTypes   = "/machine_types"   // answers with MachineTypes
	PathMachines       = "/machines"        // lists machines, takes a ProvisionRequest
	PathReturnMachines = "/machines/return" // takes a HostList
)

// Paths that controllers call, of the state service.
const (
	PathKeys         = "/keys"
	PathTransactions = "/multi"
	PathLeases       = "/grants"
	PathWatch        = "/watch"
)
