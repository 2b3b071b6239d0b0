// Package protocol defines the messages between users, worker agents, the cloud's API and
// controllers, their validation, the table of public routes, and the platform's settings.
//
// Messages and settings that have passed validation are within the bounds that the rest of
// the program relies on: ids have the required form, and amounts are finite and far from
// overflow. The names used on the wire stay in this package's struct tags, constants and
// error texts; Go identifiers use the terms that are common in cluster scheduling. Seconds
// converts the wire's seconds to a time.Duration. The package does no network I/O and
// imports no other package of this module.
//
// # Names on the wire
//
//	name on the wire            term
//	ref                         job id; in the cloud's list, host
//	jobclass, owner             job class, team
//	rank (idle ... critical)    priority class; idle: best-effort
//	shape sweep, group          job array, gang scheduling
//	shards, shard               tasks (in a submission: their number), a task's name
//	try                         attempt of a task
//	cards                       GPUs
//	bundle, sizeGb              container image, its size
//	flavour, label              machine type, its name
//	hall, area                  zone
//	samePlace, spread           all tasks in one zone, tasks spread over zones
//	loaner, marketPrice         spot (preemptible) machine, spot price
//	hourly                      on-demand price
//	expectS                     run-time estimate
//	snapshotEveryS, snapshotS   checkpoint interval, checkpoint duration
//	dueS                        deadline
//	awaits                      dependencies
//	abort (a route)             cancel
//	tenure                      agent epoch
//	tick                        sequence number of a heartbeat
//	report                      heartbeat
//	baton                       fencing token
//	warningS                    preemption notice
//	kept                        checkpointed
//	phase gathering, flushing   waiting for the gang, checkpointing
//	cause incomplete            gang start timeout
//	cause no_room, no_such      no capacity, unknown job
//	orders, windDownS           commands, grace period
//	steward                     node to send heartbeats to (redirect)
//	hire, howMany               provision request, its count
//	heldS                       age of a machine
//	others, peer                other controllers
//	show                        status of a machine (probe)
//	multi, grants               transaction, leases
//
// Messages between controllers:
//
//	fresh, stamp                key updates, version of a key
//	intents, planned            claim intents, preemption intents
//	waits, beat                 pending changes, periodic message
//	wants, wanting              demands, whether the list is complete
//	took                        accepted
//	holds                       free CPUs by image
//	barred, shy                 excluded hosts, unreliability
//	unit, whole                 resources of a task, all or nothing
//	ahead, born                 anticipated, accepted at
package protocol
