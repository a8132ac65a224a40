package state

// SnapshotName returns the name of the fold in snapshots.
func (f *Requests) SnapshotName() string { return "requests" }

// Snapshot encodes the fold's state.
func (f *Requests) Snapshot() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make([]*Request, 0, len(f.keys))
	for _, r := range f.keys {
		all = append(all, r)
	}
	sortByKey(all, func(r *Request) string { return r.Key })
	return encodeState(all)
}

// Restore replaces the fold's state with that of a snapshot.
func (f *Requests) Restore(data []byte) error {
	var all []*Request
	if err := decodeState(data, &all); err != nil {
		return err
	}
	keys := make(map[string]*Request, len(all))
	for _, r := range all {
		keys[r.Key] = r
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys = keys
	return nil
}
