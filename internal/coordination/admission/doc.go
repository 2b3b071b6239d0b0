// Package admission decides how a controller spends what is limited: its share of the state
// service's budget, its processor time and its sockets. It also decides which requests are
// refused, and when their clients should retry.
//
// It guarantees that the budget shares of controllers with the same view add up to one, that
// the parts of a socket limit do not exceed it if it has room for their minimums, and that
// a retry time is at least one second.
//
// Every function depends on its arguments alone. The package has no clock, lock, goroutine
// or I/O. It imports the standard library alone and must not import other packages of the
// module.
package admission
