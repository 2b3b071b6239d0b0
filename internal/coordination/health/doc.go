// Package health is the failure detector. From heartbeats, direct probes and the current
// time it decides which machines are silent, cannot receive or cannot report,
// which agents have restarted, which zones are partitioned, whether a controller is itself
// isolated, and whether its own process was paused. It also bounds how long a task may
// run after the cancellation of its job.
//
// Every function depends on its arguments alone. A verdict is an inference, not proof: a task
// counts as gone only by its agent's heartbeat under the current fencing token or by the
// cloud's confirmation that the machine is returned. Callers therefore use verdicts to delay
// fencing, to probe machines and to return machines, but never to release a task's placement.
//
// The package has no clock, lock, goroutine or connection. It imports the standard library
// alone and must not import other packages of the module. Its values are not safe for
// concurrent use; the caller synchronizes access to them.
package health
