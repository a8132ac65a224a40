package state

import "cmp"

// SnapshotName names the fold in a snapshot.
func (f *DirectoryFold) SnapshotName() string { return "directory" }

// Snapshot encodes the fold's state.
func (f *DirectoryFold) Snapshot() ([]byte, error) {
	var all []DirectoryEntry
	for _, e := range f.Current() {
		all = append(all, e)
	}
	sortBy(all, func(a, b DirectoryEntry) int { return cmp.Compare(a.Instance, b.Instance) })
	return encodeState(all)
}

// Restore replaces the fold's state by a snapshot.
func (f *DirectoryFold) Restore(data []byte) error {
	var all []DirectoryEntry
	if err := decodeState(data, &all); err != nil {
		return err
	}
	next := make(Directory, len(all))
	for _, e := range all {
		next[e.Instance] = e
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.Store(&next)
	return nil
}
