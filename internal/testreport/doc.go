// Package testreport judges a run of the tests, as go test -json prints it, against the
// list of known failures: exactly these may fail, and nothing else.
//
// It guarantees that a run passes only if tests ran and each failure is explained by a
// listed one: a package that fails outside its tests, does not build, panics or is ended by
// the runtime fails the run, and so does a listed test that passes, is skipped or is not
// there. It imports no other package of this module.
package testreport
