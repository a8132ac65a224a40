package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

// acceptAsync stores an asynchronous request in the log, starts it, and answers
// 202 with the location of its result.
func (e *Entry) acceptAsync(w http.ResponseWriter, r bunrouter.Request, key string, req *request) error {
	rec := protocol.Record{ID: protocol.NewID(), Accept: &protocol.RequestAccept{
		Key: req.key, Entry: e.settings.Process.Instance, Call: req.call,
	}}
	if err := e.appendAndFold(r.Context(), rec); err != nil {
		return err
	}
	state, _ := e.requests.Get(req.key)
	if state.Fingerprint != req.fingerprint {
		return keyConflictError()
	}
	e.runTask(func() { _, _, _ = e.execute(e.context(), req) })
	w.Header().Set("Location", "/requests/"+key)
	transport.WriteJSON(w, http.StatusAccepted, map[string]string{"key": key, "status": "accepted"})
	return nil
}

// wantsAsync reports whether the caller asked for an asynchronous response.
func wantsAsync(r *http.Request) bool {
	return strings.Contains(r.Header.Get(headerPrefer), "respond-async")
}

// adoptInterval is the time between two scans for accepted requests that no
// entry is running.
const adoptInterval = 2 * time.Second

// runAdoption runs accepted requests whose entry is no longer listed. The entry that
// owns a key by rendezvous hashing adopts its request.
func (e *Entry) runAdoption(ctx context.Context) error {
	ticker := time.NewTicker(adoptInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if e.isLeaving() || !e.workStream.follower.CaughtUp() {
			continue
		}
		e.adoptPending(ctx)
	}
}

func (e *Entry) adoptPending(ctx context.Context) {
	alive := map[string]bool{}
	for _, i := range e.members.Entries() {
		alive[i.Name] = true
	}
	for _, a := range e.requests.Pending() {
		service := e.config.Current().Service(a.Call.Service)
		if service == nil || e.executions.has(a.Key) || !e.shouldAdopt(&a, alive) {
			continue
		}
		req := newRequest(a.Key, protocol.NewID(), a.Call, service)
		req.callerKey = true
		e.runTask(func() { _, _, _ = e.execute(ctx, req) })
	}
}

// shouldAdopt reports whether this entry must run an accepted request that it is
// not running. These are its own requests, which it lost in a restart or which
// failed temporarily, and requests of entries that are no longer listed if this
// entry owns the key.
func (e *Entry) shouldAdopt(a *protocol.RequestAccept, alive map[string]bool) bool {
	if a.Entry == e.settings.Process.Instance {
		return true
	}
	return !alive[a.Entry] && e.ownsKey(a.Key)
}
