// Package testreport compares the output of go test -json with the list of known failures.
// The run passes only if exactly the listed tests fail.
//
// At least one test has to run, and each failure has to be explained by a listed test. A run
// fails if a package fails outside its tests, does not build, panics or is ended by the
// runtime, and if a listed test passes, is skipped or does not exist. The package imports no
// other package of this module.
package testreport
