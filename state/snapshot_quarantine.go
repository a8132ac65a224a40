package state

import "github.com/sycamoretally/sycamoretally/protocol"

type quarantineSnapshot struct {
	Now    int64
	TimeAt protocol.Position
	// Suspects are in the order in which they were first accused.
	Suspects []suspectSnapshot
}

type suspectSnapshot struct {
	Fingerprint string   `msgpack:"f"`
	Crashes     []string `msgpack:"c"`
	Productive  int      `msgpack:"p,omitempty"`
	Trial       string   `msgpack:"t,omitempty"`
	ExpiresAt   int64    `msgpack:"u"`
	HoldMillis  int64    `msgpack:"h"`
}

// SnapshotName names the fold in a snapshot.
func (q *Quarantine) SnapshotName() string { return "quarantine" }

// Snapshot encodes the fold's state.
func (q *Quarantine) Snapshot() ([]byte, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	snapshot := quarantineSnapshot{Now: q.now, TimeAt: q.timeAt}
	for _, fingerprint := range q.order {
		s := q.suspects[fingerprint]
		snapshot.Suspects = append(snapshot.Suspects, suspectSnapshot{
			Fingerprint: fingerprint, Crashes: s.crashes, Productive: s.productive, Trial: s.trial, ExpiresAt: s.expiresAt, HoldMillis: s.holdMillis,
		})
	}
	return encodeState(&snapshot)
}

// Restore replaces the fold's state by a snapshot.
func (q *Quarantine) Restore(data []byte) error {
	var snapshot quarantineSnapshot
	if err := decodeState(data, &snapshot); err != nil {
		return err
	}
	order := make([]string, 0, len(snapshot.Suspects))
	suspects := make(map[string]*suspect, len(snapshot.Suspects))
	for _, s := range snapshot.Suspects {
		order = append(order, s.Fingerprint)
		suspects[s.Fingerprint] = &suspect{crashes: s.Crashes, productive: s.Productive, trial: s.Trial, expiresAt: s.ExpiresAt, holdMillis: s.HoldMillis}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.now, q.timeAt, q.order, q.suspects = snapshot.Now, snapshot.TimeAt, order, suspects
	return nil
}
