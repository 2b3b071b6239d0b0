// Package quota decides who may use how much of what, and who must give way.
//
// A team's limit is divided into allotments, one for each shard and one for work that is
// placed across shards. The owner of a shard starts work of a team as far as its allotment
// reaches and asks nobody; unused parts of an allotment are transferred between holders.
// Guarantees are reserved on record before anything is preempted for them. Decisions are
// functions of what the records and the other controllers say; Manager holds both and
// makes the conditions and changes of transactions.
//
// It has no clock, does no I/O and takes no lock: its caller guards it.
package quota
