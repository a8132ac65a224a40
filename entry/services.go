package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// configTimeout bounds the wait for the configuration at an entry that has just
// started.
const configTimeout = 2 * time.Second

// maxConfigStaleness is the time within which a change of the configuration is in force
// everywhere. An entry whose configuration may lack older changes cannot tell that a service
// does not exist.
const maxConfigStaleness = 5 * time.Second

// findService returns the service with the name and type. If it is unknown and
// this entry has not read the whole configuration yet, it waits, and fails with
// ErrBusy after configTimeout. It fails with ErrBusy at once if the configuration is
// older than maxConfigStaleness, and otherwise with ErrNotFound.
func (e *Entry) findService(ctx context.Context, name string, kind protocol.ServiceType) (*protocol.Service, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	for {
		caughtUp := e.configStream.follower.CaughtUp()
		service := e.config.Current().Service(name)
		switch {
		case service != nil && service.Type == kind:
			return service, nil
		case caughtUp && e.configStream.follower.Staleness() > maxConfigStaleness:
			return nil, protocol.ErrBusy.New("this entry may not have read the newest configuration; it knows no %s service %q", kind, name)
		case caughtUp:
			return nil, protocol.ErrNotFound.New("no %s service %q", kind, name)
		case ctx.Err() != nil:
			return nil, protocol.ErrBusy.New("this entry has not read the configuration yet")
		}
		pause.For(ctx, configPollInterval)
	}
}

// configPollInterval is how often a request checks whether the configuration has been
// read.
const configPollInterval = 10 * time.Millisecond

// serveService forwards a call to a plain service.
func (e *Entry) serveService(w http.ResponseWriter, r bunrouter.Request) error {
	name := r.Param("service")
	service, err := e.findService(r.Context(), name, protocol.ServicePlain)
	if err != nil {
		return err
	}
	body, err := readBody(w, r, e.settings.Entry.MaxBodyBytes)
	if err != nil {
		return err
	}
	call := protocol.Call{
		Service:     name,
		Workspace:   workspaceOf(r),
		Method:      r.Method,
		Path:        pathWithQuery(r),
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	}
	key := r.Header.Get(headerKey)
	if !service.Repeatable(r.Method) && key == "" {
		return protocol.ErrKeyRequired.New("%s calls of service %q run at most once and need an Idempotency-Key", r.Method, name)
	}
	if key == "" {
		key = protocol.NewID()
	}
	req := newRequest(scopedKey(call.Workspace, key), traceOf(r.Request), call, service)
	req.callerKey = r.Header.Get(headerKey) != ""
	e.ring.Add(req.trace, "request received", "service", name)
	if wantsAsync(r.Request) {
		return e.acceptAsync(w, r, key, req)
	}
	result, retained, err := e.execute(r.Context(), req)
	if err != nil {
		return err
	}
	writeResult(w, result, key, retained)
	return nil
}

func pathWithQuery(r bunrouter.Request) string {
	path := "/" + r.Param("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// serveReady reports whether the entry's state is recent enough and its targets
// are known, so that it can serve requests.
func (e *Entry) serveReady(w http.ResponseWriter, _ bunrouter.Request) error {
	if e.isLeaving() {
		return protocol.ErrLeaving.New("this entry is shutting down")
	}
	for _, st := range []stream{e.configStream, e.workStream} {
		if err := st.follower.CheckAge(time.Duration(e.settings.Process.MaxAge)); err != nil {
			return err
		}
	}
	if !e.members.Ready() {
		return protocol.ErrBusy.New("the targets are not known yet")
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}
