package controller

import (
	"testing"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// TestRelistingRemovesDeletedRecords guards against records that stay in the view though they were deleted while no watch was open.
func TestRelistingRemovesDeletedRecords(t *testing.T) {
	view := newTestController(idleStore{}).view
	node := func(name string) string { return records.NodePrefix + name }
	for name, version := range map[string]uint64{"kept": 5, "deleted": 6, "newer": 20} {
		view.Apply(node(name), &records.Node{StartedAtMs: 1}, version)
	}
	relisting := view.BeginRelisting()
	relisting.Apply([]kv.Item{{Key: node("kept"), Value: []byte(`{"b":1}`), Version: 5}})
	relisting.Apply([]kv.Item{{Key: node("later"), Value: []byte(`{"b":1}`), Version: 12}})
	if view.Loaded || len(view.Nodes) != 4 {
		t.Errorf("loaded %v with %d nodes before the list is complete", view.Loaded, len(view.Nodes))
	}
	relisting.Finish(10)
	if _, cached := view.Nodes["deleted"]; cached || !view.Loaded || view.Revision != 10 || len(view.Nodes) != 3 {
		t.Errorf("loaded %v at revision %d with nodes %v", view.Loaded, view.Revision, view.Nodes)
	}
}
