package replica

import (
	"cmp"
	"strings"
)

// MachineKind is the kind of machine that a provision request names.
type MachineKind struct {
	Type, Zone string
	Spot       bool
}

// Compare orders kinds by type and zone, spot instances last.
func (k MachineKind) Compare(other MachineKind) int {
	return cmp.Or(strings.Compare(k.Type, other.Type), strings.Compare(k.Zone, other.Zone), compareBool(k.Spot, other.Spot))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
