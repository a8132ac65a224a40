package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

// handler answers a request or returns the error to answer with.
type handler func(w http.ResponseWriter, r bunrouter.Request) error

func (e *Entry) routes() http.Handler {
	router := bunrouter.New()
	caller := func(h handler) bunrouter.HandlerFunc { return e.handleErrors(e.requireCaller(h)) }
	operator := func(h handler) bunrouter.HandlerFunc { return e.handleErrors(e.requireOperator(h)) }

	router.POST("/v1/chat/completions", caller(e.enforceQuota(e.serveChat)))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:service/*path", caller(e.enforceQuota(e.serveService)))
	}
	router.GET("/requests/:key", caller(e.serveResult))
	router.POST("/v1/files", caller(e.serveUpload))
	router.POST("/v1/batches", caller(e.serveSubmit))
	router.GET("/v1/batches/:job", caller(e.serveJob))
	router.POST("/v1/batches/:job/cancel", caller(e.serveCancel))
	router.GET("/v1/batches/:job/results", caller(e.serveResults))

	router.GET("/config", operator(e.serveObjects))
	router.POST("/config", operator(e.serveApply))
	router.POST("/config/plan", operator(e.servePlan))
	router.GET("/config/history", operator(e.serveHistory))
	router.GET("/status", operator(e.serveStatus))
	router.GET("/events", operator(e.serveEvents))

	router.GET("/metrics", bunrouter.HTTPHandler(promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{})))
	router.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		w.WriteHeader(http.StatusNoContent)
		return nil
	})
	router.GET("/readyz", e.handleErrors(e.serveReady))
	return router
}

// handleErrors turns a handler's error into a problem document.
func (e *Entry) handleErrors(h handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		err := h(w, r)
		if err != nil {
			p := protocol.ProblemOf(err)
			e.metrics.problems.WithLabelValues(p.Title).Inc()
			transport.WriteProblem(w, err, r.Header.Get(headerKey))
		}
		return nil
	}
}

type workspaceContextKey struct{}

// requireCaller lets callers with a known key through, unless the entry is leaving.
func (e *Entry) requireCaller(h handler) handler {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		workspace, found := e.callers[bearerToken(r.Request)]
		if !found {
			return protocol.ErrUnauthorized.New("the caller's key is missing or unknown")
		}
		if e.isLeaving() {
			w.Header().Set("Connection", "close")
			return e.confirmEarlyRefusal(r, workspace, protocol.ErrLeaving.New("this entry is shutting down"))
		}
		return e.confirmEarlyRefusal(r, workspace, h(w, r.WithContext(context.WithValue(r.Context(), workspaceContextKey{}, workspace))))
	}
}

// enforceQuota lets online requests through that the quota of their workspace
// admits. Batch items are not counted: they yield to online work.
func (e *Entry) enforceQuota(h handler) handler {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		workspace := workspaceOf(r)
		if err := e.quotas.Admit(workspace, e.config.Current().Quota(workspace), len(e.members.Entries())); err != nil {
			return err
		}
		return h(w, r)
	}
}

// confirmEarlyRefusal checks a refusal that was made before the key of the request
// was looked at: the caller may have sent the same key before.
func (e *Entry) confirmEarlyRefusal(r bunrouter.Request, workspace string, err error) error {
	key := r.Header.Get(headerKey)
	for _, kind := range []*errorx.Type{protocol.ErrLeaving, protocol.ErrNotFound, protocol.ErrTooLarge, protocol.ErrBadRequest, protocol.ErrQuotaExceeded} {
		if key != "" && errorx.IsOfType(err, kind) {
			return e.checkRefusal(scopedKey(workspace, key), err)
		}
	}
	return err
}

func workspaceOf(r bunrouter.Request) string {
	w, _ := r.Context().Value(workspaceContextKey{}).(string)
	return w
}

// requireOperator lets operators with a known key through.
func (e *Entry) requireOperator(h handler) handler {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		token := bearerToken(r.Request)
		for _, key := range e.settings.Entry.OperatorKeys {
			if key == token {
				return h(w, r)
			}
		}
		return protocol.ErrUnauthorized.New("the operator's key is missing or unknown")
	}
}

func bearerToken(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

// readBody reads a body of at most limit bytes. It fails with ErrTooLarge or
// ErrBadRequest.
func readBody(w http.ResponseWriter, r bunrouter.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, protocol.ErrTooLarge.New("body above %d bytes", limit)
	case err != nil:
		return nil, protocol.ErrBadRequest.Wrap(err, "read body")
	}
	return body, nil
}
