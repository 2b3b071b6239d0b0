package protocol

import "strings"

// Route names a request of the public address.
type Route int

// The routes, and the two ways for a request to match none.
const (
	NotFound Route = iota
	WrongMethod
	Submit
	Query
	Abort
	WorkerReport
	Ready
)

var routes = []struct {
	method, prefix, suffix string
	wild                   bool
	route                  Route
}{
	{"POST", "/submissions", "", false, Submit},
	{"POST", "/submissions/", "/abort", true, Abort},
	{"GET", "/submissions/", "", true, Query},
	{"POST", "/v1/report", "", false, WorkerReport},
	{"GET", "/ready", "", false, Ready},
}

// Match finds the route of a request and the id in its path, if it has one.
func Match(method, target string) (Route, string) {
	path, _, _ := strings.Cut(target, "?")
	found := NotFound
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
		found = WrongMethod
	}
	return found, ""
}

// FromUser tells whether a request comes from a user, not from a worker or the
// load balancer.
func FromUser(method, target string) bool {
	route, _ := Match(method, target)
	return route != WorkerReport && route != Ready
}

// Paths of the services that controllers call.
const (
	PathCommands     = "/commands"
	PathShow         = "/show"
	PathMachineTypes = "/machine_types"
	PathMachines     = "/machines"
	PathReturn       = "/machines/return"
	PathKeys         = "/keys"
	PathMulti        = "/multi"
	PathGrants       = "/grants"
	PathWatch        = "/watch"
)
