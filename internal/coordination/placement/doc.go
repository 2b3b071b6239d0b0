// Package placement decides how much capacity best-effort arrays may use, how much is
// provisioned for arrays, and when an array starts one task ahead of its turn.
//
// It guarantees that best-effort work is granted capacity beyond its share only while no
// other work waits, and then leaves the reserve of services free. A job of which nothing has
// started is granted one task in any case, so that none waits for ever.
//
// Every function depends on its arguments alone: capacity and the time come in, decisions go
// out. The package has no clock, lock, goroutine or I/O. It imports the standard library
// alone and must not import other packages of the module.
package placement
