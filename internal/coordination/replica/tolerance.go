package replica

import "madderslip/internal/protocol"

// tolerance is what rounding may leave of sums that should be equal.
const tolerance = protocol.ResourceTolerance
