package entry

import (
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

// Status is the response to GET /status: the state of the system as known to
// this entry.
type Status struct {
	Instance string         `json:"instance"`
	Leaving  bool           `json:"leaving"`
	Config   string         `json:"config"`
	Targets  []TargetStatus `json:"targets"`
	Jobs     int            `json:"running_jobs"`
	Keys     int            `json:"keys"`
	// Suspects and Quarantined count calls that were in flight when targets
	// crashed.
	Suspects    int `json:"suspects"`
	Quarantined int `json:"quarantined"`
}

// TargetStatus is one row of the table of targets.
type TargetStatus struct {
	Name       string          `json:"name"`
	Instance   string          `json:"instance"`
	DataCentre string          `json:"data_centre"`
	Labels     protocol.Labels `json:"labels"`
	State      string          `json:"state"`
	Slots      int             `json:"slots"`
	Online     int             `json:"online"`
	Batch      int             `json:"batch"`
	Queued     int             `json:"queued"`
}

// serveStatus lists the targets that match the selector in the query, or all
// targets without one.
func (e *Entry) serveStatus(w http.ResponseWriter, r bunrouter.Request) error {
	selector, err := protocol.ParseSelector(r.URL.Query().Get("selector"))
	if err != nil {
		return err
	}
	transport.WriteJSON(w, http.StatusOK, e.status(selector))
	return nil
}

func (e *Entry) status(selector protocol.Selector) Status {
	config := e.config.Current()
	s := Status{
		Instance: e.settings.Process.Instance,
		Leaving:  e.isLeaving(),
		Config:   config.At.String(),
		Targets:  []TargetStatus{},
		Jobs:     len(e.jobs.Running()),
		Keys:     e.requests.Len(),
	}
	s.Suspects, s.Quarantined = e.quarantine.Counts()
	for _, t := range e.members.Table().Targets {
		labels := config.Labels(t.Report.Labels)
		if !selector.Matches(labels) {
			continue
		}
		s.Targets = append(s.Targets, TargetStatus{
			Name:       t.Name,
			Instance:   t.Instance,
			DataCentre: t.DataCentre,
			Labels:     labels,
			State:      t.State(config),
			Slots:      t.Report.Slots,
			Online:     t.Report.Online,
			Batch:      t.Report.Batch,
			Queued:     t.Report.Queued,
		})
	}
	return s
}
