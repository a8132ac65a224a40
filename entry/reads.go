package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

// readTimeout bounds the wait of a read until all earlier records are folded.
const readTimeout = 2 * time.Second

// serveResult serves GET /requests/{key} with the stored result, or with what is
// known of the request. It reports a key as unknown only if the log up to its
// end has no record of it.
func (e *Entry) serveResult(w http.ResponseWriter, r bunrouter.Request) error {
	key := r.Param("key")
	state, found := e.requests.Get(scopedKey(workspaceOf(r), key))
	if state.ResultAt == 0 {
		ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
		defer cancel()
		if err := e.foldToEnd(ctx); err != nil {
			return protocol.ErrOutcomeUnknown.Wrap(err, "the outcome of the request cannot be read from the log")
		}
		state, found = e.requests.Get(scopedKey(workspaceOf(r), key))
	}
	switch {
	case !found:
		return protocol.ErrNoResult.New("no request with this key is known")
	case state.ResultAt != 0:
		result, err := e.readStoredResult(r.Context(), state.ResultAt)
		if err != nil {
			return err
		}
		writeResult(w, result, key, true)
		return nil
	case state.Started != nil:
		transport.WriteJSON(w, http.StatusAccepted, map[string]string{"key": key, "status": "started", "outcome": string(protocol.OutcomeUnknown)})
		return nil
	case state.Accepted != nil:
		transport.WriteJSON(w, http.StatusAccepted, map[string]string{"key": key, "status": "accepted"})
		return nil
	default:
		return protocol.ErrNoResult.New("no attempt of the request has run")
	}
}

// readStoredResult reads a result from the log. It fails with ErrResultUnreadable,
// whatever the cause: the request has ended even if its result cannot be read.
func (e *Entry) readStoredResult(ctx context.Context, pos protocol.Position) (*protocol.Result, error) {
	rec, err := e.bodies.Record(ctx, pos)
	if err != nil {
		return nil, protocol.ErrResultUnreadable.Wrap(err, "the request has ended; its result cannot be read now")
	}
	if rec.Complete == nil {
		return nil, protocol.ErrInternal.New("record %s is not a completion", pos)
	}
	return &rec.Complete.Result, nil
}

func writeResult(w http.ResponseWriter, result *protocol.Result, key string, retained bool) {
	w.Header().Set(headerKey, key)
	w.Header().Set(headerRetained, strconv.FormatBool(retained))
	if result.ContentType != "" {
		w.Header().Set("Content-Type", result.ContentType)
	}
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
}
