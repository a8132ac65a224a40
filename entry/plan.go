package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
	"github.com/sycamoretally/sycamoretally/transport"
)

// PlannedObject is what a change would do to one object, with the targets that
// the object would select.
type PlannedObject struct {
	state.PlannedObject
	// Targets names the targets that the entry knows and the object selects, in
	// order. A deletion lists those that the object in force selects.
	Targets []string `json:"targets"`
}

// servePlan answers what a change would do, and publishes nothing.
func (e *Entry) servePlan(w http.ResponseWriter, r bunrouter.Request) error {
	change, err := e.readChange(w, r)
	if err != nil {
		return err
	}
	if err := e.configStream.follower.CheckAge(time.Duration(e.settings.Process.MaxAge)); err != nil {
		return err
	}
	current := e.config.Current()
	next := current.WithChange(change)
	plan := make([]PlannedObject, 0, len(change.Objects))
	for _, p := range current.Plan(change) {
		selecting, config := &p.Object, next
		if p.Object.Deleted && p.Live != nil {
			selecting, config = p.Live, current
		}
		plan = append(plan, PlannedObject{PlannedObject: p, Targets: e.selectedTargets(selecting, config)})
	}
	transport.WriteJSON(w, http.StatusOK, plan)
	return nil
}

// selectedTargets names the targets that an object selects under a configuration.
func (e *Entry) selectedTargets(o *protocol.Object, config *state.Config) []string {
	names := []string{}
	for _, t := range e.members.Table().Targets {
		if config.Selects(o, t.Report.Labels) {
			names = append(names, t.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// serveHistory lists the versions of one object that are kept.
func (e *Entry) serveHistory(w http.ResponseWriter, r bunrouter.Request) error {
	kind, name := r.URL.Query().Get("kind"), r.URL.Query().Get("name")
	found := e.config.History(protocol.ObjectKind(kind), name)
	if len(found) == 0 {
		return protocol.ErrNotFound.New("no version of %s %q is kept", kind, name)
	}
	transport.WriteJSON(w, http.StatusOK, found)
	return nil
}
