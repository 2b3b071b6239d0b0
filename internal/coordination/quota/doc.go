// Package quota decides how much of the cluster each team may use, and whose tasks are
// preempted for a team's guarantee.
//
// It owns the division of limits and the reservations on guarantees. A limit is divided
// into allotments, one for each shard and one, CrossShard, for work placed across shards;
// each of these is a holder. The controller that decides for a holder starts tasks within
// its allotment without asking anyone, and transfers unused parts to holders that demand
// more. A guarantee is reserved in the records of the team and of every team that loses
// tasks to it before any task is stopped.
//
// It guarantees that the parts of a limit never add up to more than the limit, whatever
// transactions fail, arrive late or are repeated, as long as every start carries the
// conditions that LimitCompares and ReservationCompare return. What controllers tell each
// other is advice: wrong or late, it delays work and breaks no limit.
//
// Decisions are functions of the records, of what the other controllers say and of the
// time passed in. Manager keeps the first two and returns transactions for its caller to
// commit. The package has no clock, does no I/O and takes no lock: the caller holds one
// around every call. It must not import the controller or a transport.
package quota
