package state

type loadSnapshot struct {
	Target string
	Load   TargetLoad
}

// SnapshotName returns the name of the fold in snapshots.
func (l *Loads) SnapshotName() string { return "loads" }

// Snapshot encodes the fold's state.
func (l *Loads) Snapshot() ([]byte, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make([]loadSnapshot, 0, len(l.targets))
	for target, t := range l.targets {
		all = append(all, loadSnapshot{Target: target, Load: *t})
	}
	sortByKey(all, func(s loadSnapshot) string { return s.Target })
	return encodeState(all)
}

// Restore replaces the fold's state with that of a snapshot. The ConfigFold must be
// restored first.
func (l *Loads) Restore(data []byte) error {
	var all []loadSnapshot
	if err := decodeState(data, &all); err != nil {
		return err
	}
	targets := make(map[string]*TargetLoad, len(all))
	for i := range all {
		targets[all[i].Target] = &all[i].Load
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = targets
	return nil
}
