// Package testreport judges a run of the tests against the list of known failures: exactly
// these may fail, and nothing else.
package testreport
