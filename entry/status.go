package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/timeline"
	"github.com/sycamoretally/sycamoretally/transport"
)

// Status is what GET /status answers: the system as this entry sees it.
type Status struct {
	Instance string         `json:"instance"`
	Leaving  bool           `json:"leaving"`
	Config   string         `json:"config"`
	Targets  []TargetStatus `json:"targets"`
	Jobs     int            `json:"running_jobs"`
	Keys     int            `json:"keys"`
	// Suspects and Quarantined count calls that were in flight at crashes.
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

func (e *Entry) serveStatus(w http.ResponseWriter, _ bunrouter.Request) error {
	transport.WriteJSON(w, http.StatusOK, e.status())
	return nil
}

func (e *Entry) status() Status {
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
		s.Targets = append(s.Targets, TargetStatus{
			Name:       t.Name,
			Instance:   t.Instance,
			DataCentre: t.DataCentre,
			Labels:     config.Labels(t.Report.Labels),
			State:      t.State(config),
			Slots:      t.Report.Slots,
			Online:     t.Report.Online,
			Batch:      t.Report.Batch,
			Queued:     t.Report.Queued,
		})
	}
	return s
}

// Timeline is what GET /events answers.
type Timeline struct {
	Events []protocol.Event `json:"events"`
	// Missing names the listed processes that did not answer.
	Missing []string `json:"missing"`
}

// eventsTimeout bounds the wait for one process's events.
const eventsTimeout = 2 * time.Second

// serveEvents merges the events of all listed processes.
func (e *Entry) serveEvents(w http.ResponseWriter, r bunrouter.Request) error {
	args := protocol.EventsArgs{Trace: r.URL.Query().Get("trace")}
	if text := r.URL.Query().Get("since_ms"); text != "" {
		since, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return protocol.ErrBadRequest.New("since_ms must be milliseconds since the epoch")
		}
		args.SinceUnixMillis = since
	}
	transport.WriteJSON(w, http.StatusOK, e.gatherEvents(r.Context(), args))
	return nil
}

func (e *Entry) gatherEvents(ctx context.Context, args protocol.EventsArgs) Timeline {
	merged := Timeline{Events: e.ring.Events(args), Missing: []string{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, i := range e.members.Instances() {
		if i.Name == e.settings.Process.Instance {
			continue
		}
		group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, eventsTimeout)
			defer cancel()
			var reply protocol.EventsReply
			err := e.peers.Call(callCtx, i.Peer, protocol.MethodEvents, &args, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				merged.Missing = append(merged.Missing, i.Name)
				return
			}
			merged.Events = append(merged.Events, reply.Events...)
		})
	}
	group.Wait()
	timeline.Sort(merged.Events)
	return merged
}
