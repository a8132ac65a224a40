package state

import (
	"github.com/sycamoretally/sycamoretally/protocol"
)

type configSnapshot struct {
	At       protocol.Position
	Objects  []protocol.Object
	Verdicts []changeResultSnapshot
	Versions []protocol.ObjectVersion
}

type changeResultSnapshot struct {
	ID      string            `msgpack:"i"`
	At      protocol.Position `msgpack:"a"`
	Problem *protocol.Problem `msgpack:"p,omitempty"`
}

// SnapshotName names the fold in a snapshot.
func (f *ConfigFold) SnapshotName() string { return "config" }

// Snapshot encodes the fold's state.
func (f *ConfigFold) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	s := configSnapshot{At: current.At, Versions: f.versions.all}
	for _, o := range current.objects {
		s.Objects = append(s.Objects, o)
	}
	sortBy(s.Objects, compareObjects)
	for _, id := range f.changeResults.order {
		v := f.changeResults.get(id)
		s.Verdicts = append(s.Verdicts, changeResultSnapshot{ID: id, At: v.At, Problem: protocol.ProblemOf(v.Err)})
	}
	return encodeState(&s)
}

// Restore replaces the fold's state by a snapshot, unless the fold is past it.
func (f *ConfigFold) Restore(data []byte) error {
	var s configSnapshot
	if err := decodeState(data, &s); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.At < f.current.Load().At {
		return nil
	}
	next := &Config{At: s.At, objects: make(map[objectID]protocol.Object, len(s.Objects))}
	for _, o := range s.Objects {
		next.objects[objectID{o.Kind, o.Name}] = o
	}
	next.deriveLists()
	f.versions.all = s.Versions
	f.changeResults = newChangeResults(maxChangeResults)
	for _, v := range s.Verdicts {
		f.changeResults.add(v.ID, ChangeResult{Known: true, At: v.At, Err: v.Problem.Err()})
	}
	f.current.Store(next)
	return nil
}
