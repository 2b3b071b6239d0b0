package provisioning

import "testing"

// The fleet of a zone in which all boots are slow is not provisioned twice.
func TestOverdueMachinesAreReplacedGradually(t *testing.T) {
	for _, c := range [][3]int{{0, 100, 0}, {1, 1, 1}, {3, 4, 2}, {100, 100, 26}} {
		if got := ReplacementCount(c[0], c[1]); got != c[2] {
			t.Errorf("%d overdue of %d: %d replaced, wanted %d", c[0], c[1], got, c[2])
		}
	}
}
