package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Handler serves the API that backend.HTTPLog uses, and POST /faults, which
// replaces the injected faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", s.serveAppend)
	mux.HandleFunc("GET /streams/{stream}", s.serveRead)
	mux.HandleFunc("POST /faults", s.serveFaults)
	return mux
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxEntryBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.Append(r.Context(), r.PathValue("stream"), data)
	if errorx.IsOfType(err, protocol.ErrAnswerLost) {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = msgpack.NewEncoder(w).Encode(backend.AppendResponse{Offset: offset})
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	wait := time.Duration(waitMillis) * time.Millisecond
	page, err := s.Read(r.Context(), r.PathValue("stream"), from, limit, wait)
	switch {
	case errorx.IsOfType(err, protocol.ErrOffsetExpired):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_ = msgpack.NewEncoder(w).Encode(page)
	}
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
