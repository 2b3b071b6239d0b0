package replica

import (
	"maps"
	"slices"

	"madderslip/internal/storage/kv"
)

// Relisting is the progress of a list of all records, which is applied to a view page by page. The
// lock of the view's owner is held by the callers of its methods.
type Relisting struct {
	view *View
	// unlisted holds the keys that the view had when the list began and that no page has had yet.
	unlisted map[string]struct{}
}

// BeginRelisting begins to apply a list of all records.
func (v *View) BeginRelisting() *Relisting {
	unlisted := make(map[string]struct{}, len(v.Versions))
	for key := range v.Versions {
		unlisted[key] = struct{}{}
	}
	return &Relisting{view: v, unlisted: unlisted}
}

// Apply applies a page of the list.
func (r *Relisting) Apply(page []kv.Item) {
	for _, item := range page {
		delete(r.unlisted, item.Key)
		r.view.ApplyItem(item)
	}
}

// Finish ends a list that is complete as of a revision. Cached records of this revision or an earlier
// one that the list lacks have been deleted, and are removed from the cache.
func (r *Relisting) Finish(revision uint64) {
	for _, key := range slices.Sorted(maps.Keys(r.unlisted)) {
		if version, cached := r.view.Versions[key]; cached && version <= revision {
			r.view.Apply(key, nil, revision)
		}
	}
	r.view.Loaded = true
	r.view.ReachRevision(revision)
}
