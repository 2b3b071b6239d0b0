package protocol

import "strings"

// Route identifies a kind of request on the public address.
type Route int

// The routes. RouteNotFound and RouteWrongMethod are for requests that match no route.
const (
	RouteNotFound    Route = iota
	RouteWrongMethod       // a route has this path, but with another method
	RouteSubmit            // a user submits a job
	RouteQuery             // a user queries a job's status
	RouteCancel            // a user cancels a job
	RouteHeartbeat         // a worker's agent sends a heartbeat
	RouteReady             // the load balancer's health check
)

// routes are the public routes. If withID is set, the path has a job id between prefix and
// suffix; otherwise the path is the prefix alone.
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

// MatchRoute returns the route of a request, and the id in its path if the route has one.
// The query string of the target is ignored.
func MatchRoute(method, target string) (Route, string) {
	path, _, _ := strings.Cut(target, "?")
	mismatch := RouteNotFound
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
		mismatch = RouteWrongMethod
	}
	return mismatch, ""
}

// pathID returns the single segment between a prefix and a suffix, and reports whether the
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

// Paths of a worker's agent, which controllers call.
const (
	PathCommands = "/commands" // accepts a CommandRequest, responds with a Heartbeat
	PathStatus   = "/show"     // responds with a Heartbeat
)

// Paths of the cloud's API, which controllers call.
const (
	PathMachineTypes   = "/machine_types"   // responds with MachineTypes
	PathMachines       = "/machines"        // lists machines, accepts a ProvisionRequest
	PathReturnMachines = "/machines/return" // accepts a HostList
)

// Paths of the state service, which controllers call.
const (
	PathKeys         = "/keys"
	PathTransactions = "/multi"
	PathLeases       = "/grants"
	PathWatch        = "/watch"
)
