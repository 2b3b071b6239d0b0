// Package health detects failures from heartbeats and direct probes: machines that are
// silent, cannot receive or cannot report, restarted agents, partitioned zones, a
// controller that is itself isolated, and pauses of its own process. It also bounds how
// long a cancelled task may outlive its cancellation.
//
// All of it is decisions on what is known and the time. Nothing here has a clock, a lock
// or a connection, and no verdict is proof: a task counts as gone only by its agent's
// heartbeat under the current fencing token or by the cloud's confirmation.
package health
