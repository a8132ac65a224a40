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

// acceptAsync makes an asynchronous request durable and starts it. The receipt names
// where its result will be.
func (e *Entry) acceptAsync(w http.ResponseWriter, r bunrouter.Request, key string, o *request) error {
	rec := protocol.Record{ID: protocol.NewID(), Accept: &protocol.RequestAccept{
		Key: o.key, Entry: e.settings.Process.Instance, Call: o.call,
	}}
	if err := e.appendAndFold(r.Context(), rec); err != nil {
		return err
	}
	state, _ := e.requests.Get(o.key)
	if state.Fingerprint != o.fingerprint {
		return keyConflictError()
	}
	e.runTask(func() { _, _, _ = e.execute(e.context(), o) })
	w.Header().Set("Location", "/requests/"+key)
	transport.WriteJSON(w, http.StatusAccepted, map[string]string{"key": key, "status": "accepted"})
	return nil
}

// wantsAsync reports whether the caller asked for an asynchronous answer.
func wantsAsync(r *http.Request) bool {
	return strings.Contains(r.Header.Get(headerPrefer), "respond-async")
}

// adoptInterval is the time between two searches for accepted requests that
// nobody runs.
const adoptInterval = 2 * time.Second

// runAdoption runs accepted requests whose entry has gone. The owner of a key by
// rendezvous hashing adopts it.
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
		o := newRequest(a.Key, protocol.NewID(), a.Call, service)
		o.callerKey = true
		e.runTask(func() { _, _, _ = e.execute(ctx, o) })
	}
}

// shouldAdopt reports whether this entry runs an accepted request that it is not
// running: its own, which it lost when it was replaced or which failed for a
// time, and those of entries that have gone, where it owns the key.
func (e *Entry) shouldAdopt(a *protocol.RequestAccept, alive map[string]bool) bool {
	if a.Entry == e.settings.Process.Instance {
		return true
	}
	return !alive[a.Entry] && e.ownsKey(a.Key)
}
