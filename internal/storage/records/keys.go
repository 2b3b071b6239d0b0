package records

import (
	"fmt"
	"strconv"
	"strings"
)

// Prefixes of the keys, each with the form of the whole key and the type of the record.
const (
	NodePrefix            = "n/" // n/<node>: Node
	ShardPrefix           = "s/" // s/<shard>: Shard; the key's version is the fencing token
	MachinePrefix         = "m/" // m/<host>: Machine
	JobPrefix             = "j/" // j/<job>: Job
	ClaimPrefix           = "c/" // c/<job>/<chunk>: Claim
	TeamUsagePrefix       = "t/" // t/<team>: TeamUsage
	TeamLimitPrefix       = "l/" // l/<team>: TeamLimit
	AllotmentPrefix       = "a/" // a/<team>/<holder>: Allotment
	ReservationPrefix     = "k/" // k/<team>: Reservations
	ProvisionPrefix       = "h/" // h/<name>: Provision
	ImagePrefix           = "i/" // i/<shard>/<part>: ImageLocations
	GangReservationPrefix = "g/" // g/<job>: GangReservation
	GangHoldPrefix        = "o/" // o/<job>/<shard>: GangHold
)

// LeaderKey is the key of the only Leader record.
const LeaderKey = "lead"

// ClaimKey returns the key of the claim of a job's chunk.
func ClaimKey(jobID string, chunk int) string {
	return ClaimPrefix + jobID + "/" + strconv.Itoa(chunk)
}

// ParseClaimKey returns the job and the chunk of a key that ClaimKey returned. Any other text
// is an error; if only the chunk is invalid, the job's id is returned with the error.
func ParseClaimKey(key string) (jobID string, chunk int, err error) {
	jobID, number, ok := strings.Cut(strings.TrimPrefix(key, ClaimPrefix), "/")
	if !ok {
		return "", 0, fmt.Errorf("parse claim key %q: no chunk number", key)
	}
	chunk, err = strconv.Atoi(number)
	return jobID, chunk, err
}
