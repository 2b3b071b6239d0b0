package protocol

import "strings"

// Route names a request of the public address.
type Route int

// The routes, and the two ways for a request to match none.
const (
	RouteNotFound Route = iota
	RouteWrongMethod
	RouteSubmit
	RouteQuery
	RouteCancel
	RouteHeartbeat
	RouteReady
)

var routes = []struct {
	method, prefix, suffix string
	wild                   bool
	route                  Route
}{
	{"POST", "/submissions", "", false, RouteSubmit},
	{"POST", "/submissions/", "/abort", true, RouteCancel},
	{"GET", "/submissions/", "", true, RouteQuery},
	{"POST", "/v1/report", "", false, RouteHeartbeat},
	{"GET", "/ready", "", false, RouteReady},
}

// MatchRoute finds the route of a request and the id in its path, if it has one.
func MatchRoute(method, target string) (Route, string) {
	path, _, _ := strings.Cut(target, "?")
	found := RouteNotFound
	for _, r := range routes {
		id := ""
		if r.wild {
			rest, ok := strings.CutPrefix(path, r.prefix)
			if !ok {
				continue
			}
			if rest, ok = strings.CutSuffix(rest, r.suffix); !ok || rest == "" || strings.Contains(rest, "/") {
				continue
			}
			id = rest
		} else if path != r.prefix {
			continue
		}
		if r.method == method {
			return r.route, id
		}
		found = RouteWrongMethod
	}
	return found, ""
}

// IsUserRequest tells whether a request comes from a user, not from a worker or the
// load balancer.
func IsUserRequest(method, target string) bool {
	route, _ := MatchRoute(method, target)
	return route != RouteHeartbeat && route != RouteReady
}

// Paths of the services that controllers call.
const (
	PathCommands       = "/commands"
	PathStatus         = "/show"
	PathMachineTypes   = "/machine_types"
	PathMachines       = "/machines"
	PathReturnMachines = "/machines/return"
	PathKeys           = "/keys"
	PathTransactions   = "/multi"
	PathLeases         = "/grants"
	PathWatch          = "/watch"
)
