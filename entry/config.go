package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uptrace/bunrouter"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
	"github.com/sycamoretally/sycamoretally/transport"
)

// ApplyRequest is the body of POST /config.
type ApplyRequest struct {
	// By names the operator.
	By      string            `json:"by"`
	Objects []protocol.Object `json:"objects"`
}

// ApplyResponse says at which version a change was accepted.
type ApplyResponse struct {
	Version protocol.Position `json:"version"`
}

// changeResultTimeout bounds the wait for the verdict on a change.
const changeResultTimeout = 5 * time.Second

// serveApply publishes a change. It answers "accepted" only after it has read
// its own record back as valid. The log alone judges versions: this entry may
// lag behind the version that the change was made from.
func (e *Entry) serveApply(w http.ResponseWriter, r bunrouter.Request) error {
	change, err := e.readChange(w, r)
	if err != nil {
		return err
	}
	clock := e.ring.Clock().Now()
	version, err := e.publish(r.Context(), clock, change)
	if err != nil {
		return err
	}
	trace := traceOf(r.Request)
	e.ring.AddAt(clock, trace, "configuration changed", "version", version.String())
	klog.InfoS("configuration changed", "trace", trace, "by", change.By, "version", version, "objects", len(change.Objects))
	transport.WriteJSON(w, http.StatusOK, ApplyResponse{Version: version})
	return nil
}

// readChange reads the change in the body of a request and checks it.
func (e *Entry) readChange(w http.ResponseWriter, r bunrouter.Request) (*protocol.Change, error) {
	body, err := readBody(w, r, e.settings.Entry.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	var want ApplyRequest
	if err := json.Unmarshal(body, &want); err != nil {
		return nil, protocol.ErrBadRequest.New("malformed JSON: %v", err)
	}
	if len(want.Objects) == 0 {
		return nil, protocol.ErrBadRequest.New("the change has no objects")
	}
	change := &protocol.Change{By: want.By, UnixMillis: time.Now().UnixMilli(), Objects: want.Objects}
	return change, change.Validate()
}

func (e *Entry) publish(ctx context.Context, clock uint64, change *protocol.Change) (protocol.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, changeResultTimeout)
	defer cancel()
	rec := protocol.Record{ID: protocol.NewID(), Clock: clock, Change: change}
	last, err := e.configStream.writer.Append(ctx, rec)
	if err != nil && !errorx.IsOfType(err, protocol.ErrAnswerLost) {
		return 0, err
	}
	if err == nil {
		err = e.configStream.follower.WaitFor(ctx, last.Offset())
	}
	if err != nil {
		e.awaitChangeResult(ctx, rec.ID)
	}
	verdict := e.config.ChangeResult(rec.ID)
	if !verdict.Known {
		return 0, protocol.ErrAnswerLost.Wrap(err, "the verdict is not known")
	}
	return verdict.At, verdict.Err
}

// awaitChangeResult waits until the record was folded or ctx ends: an append whose
// answer was lost is settled by reading on.
func (e *Entry) awaitChangeResult(ctx context.Context, recordID string) {
	for !e.config.ChangeResult(recordID).Known {
		if e.configStream.follower.WaitFor(ctx, e.configStream.follower.Folded()+1) != nil {
			return
		}
	}
}

// serveObjects lists the configuration's objects, of one kind and name where
// the query says so.
func (e *Entry) serveObjects(w http.ResponseWriter, r bunrouter.Request) error {
	kind, name := r.URL.Query().Get("kind"), r.URL.Query().Get("name")
	found := []protocol.Object{}
	for _, o := range e.config.Current().Objects() {
		if (kind == "" || string(o.Kind) == kind) && (name == "" || o.Name == name) {
			found = append(found, o)
		}
	}
	transport.WriteJSON(w, http.StatusOK, found)
	return nil
}

// Config returns the configuration in force.
func (e *Entry) Config() *state.Config { return e.config.Current() }
