package simtest

import (
	"encoding/json"
	"reflect"

	"madderslip/internal/protocol"
)

// updateKeyPrefix is prepended to the keys of updates to get those of the state service.
const updateKeyPrefix = "madderslip/"

// checkUpdates checks that each record which a controller sends to another is the one that the
// state service stored under the version given. A receiver that applies an older record under a
// newer version ignores the true record of that version, and acts on the older one under
// conditions that hold.
func (c *cluster) checkUpdates(from string, message *protocol.PeerMessage) error {
	for _, update := range message.Updates {
		stored, isKnown, err := c.world.State.ValueAt(updateKeyPrefix+update.Key, update.Version)
		if err != nil {
			return checkErrorf("stale_update", "%s sends %s: %w", from, update.Key, err)
		}
		if isKnown && !isRecordOf(update.Value, stored) {
			return checkErrorf("stale_update", "%s sends %s of revision %d as %s, the state service stored %s", from, update.Key, update.Version, update.Value, stored)
		}
	}
	return nil
}

// isRecordOf reports whether a sent record is a stored one. A sent record may lack fields, as the
// short form of a final job does, and may have a description that was stored earlier. The fields
// that both have must be equal, and the state of a job must be the same.
func isRecordOf(sent, stored json.RawMessage) bool {
	var sentFields, storedFields map[string]any
	if json.Unmarshal(sent, &sentFields) != nil || json.Unmarshal(stored, &storedFields) != nil {
		return false
	}
	if !reflect.DeepEqual(sentFields["x"], storedFields["x"]) {
		return false
	}
	for key, value := range sentFields {
		storedValue, isStored := storedFields[key]
		if isStored && !reflect.DeepEqual(value, storedValue) {
			return false
		}
	}
	return true
}
