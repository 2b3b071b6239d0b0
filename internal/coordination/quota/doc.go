// Package quota decides how much of the cluster each team may use, and whose tasks are
// preempted for a team's guarantee.
//
// The package owns the division of limits and the reservations on guarantees. A limit is
// divided into allotments: one for each shard, and one, CrossShard, for work placed across
// shards. The shards and CrossShard are the holders of the allotments. The controller that
// decides for a holder (the shard owner or, for CrossShard, the leader) starts tasks within
// the holder's allotment without consulting other controllers, and transfers unused parts to
// holders that demand more. Before any task is preempted for a guarantee, a reservation is
// written to the records of the guaranteed team and of every team that loses tasks.
//
// The package guarantees that the parts of a limit never add up to more than the limit, even
// if transactions fail, are delayed or are repeated, as long as every start carries the
// conditions that LimitCompares and ReservationCompare return. Messages between controllers
// are advisory: a wrong or late message delays work and breaks no limit.
//
// Decisions are functions of the records, of the demands that other controllers report, and
// of the time passed in. Manager keeps the records and the demands, and returns transactions
// for its caller to commit. The package has no clock, does no I/O and takes no lock: the
// caller holds a lock around every call. It must not import the controller or a transport.
package quota
