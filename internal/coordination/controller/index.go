package controller

// The indexes answer, without a walk over all claims, what is on a machine,
// what a shard's claims are, and what a team uses. They are derived from the
// claims and kept up to date by reindex alone; Recount compares them with a
// count from scratch.
