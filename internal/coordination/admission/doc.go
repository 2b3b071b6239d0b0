// Package admission divides the limited resources of a controller: its share of the state
// service's budget, its processor time and its sockets. The package also decides which
// requests are refused, and when their clients should retry.
//
// The package guarantees that the budget shares of controllers with the same pending counts
// add up to one, that the sum of the parts of a socket limit does not exceed the limit if
// the limit has room for their minimums, and that a retry time is at least one second.
//
// Every function depends on its arguments alone. The package has no clock, lock, goroutine
// or I/O. It imports only the standard library and must not import other packages of the
// module.
package admission
