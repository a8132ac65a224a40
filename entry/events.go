package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/timeline"
	"github.com/sycamoretally/sycamoretally/transport"
)

// Timeline is the response to GET /events.
type Timeline struct {
	Events []protocol.Event `json:"events"`
	// Missing lists the processes that did not reply.
	Missing []string `json:"missing"`
	// Cut lists the processes that had more events than the limit.
	Cut []string `json:"cut,omitempty"`
}

// Bounds on the number of events in one response.
const (
	maxGatheredEvents = 200_000
	minProcessEvents  = 64
)

// eventsTimeout bounds the call for one process's events.
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
	instances := e.members.Instances()
	args.Limit = max(minProcessEvents, maxGatheredEvents/max(1, len(instances)))
	own, cut := e.ring.Events(args)
	merged := Timeline{Events: own, Missing: []string{}}
	if cut {
		merged.Cut = append(merged.Cut, e.settings.Process.Instance)
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, i := range instances {
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
			if reply.Cut {
				merged.Cut = append(merged.Cut, i.Name)
			}
		})
	}
	group.Wait()
	timeline.Sort(merged.Events)
	slices.Sort(merged.Missing)
	slices.Sort(merged.Cut)
	return merged
}
