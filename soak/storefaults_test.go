package soak

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

// storeFaults serves the store to one process, and can delay or refuse that process's calls while
// the others are served.
type storeFaults struct {
	store http.Handler
	// delay is how late the store's answers arrive, as a time.Duration.
	delay atomic.Int64
	// refusal is the status with which calls are answered, 0 for none. It is hang for no
	// answer.
	refusal atomic.Int64
}

// hang is the refusal of a store that accepts calls and answers none.
const hang = -1

func (f *storeFaults) setDelay(delay time.Duration) { f.delay.Store(int64(delay)) }

// ServeHTTP implements http.Handler.
func (f *storeFaults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch status := int(f.refusal.Load()); status {
	case 0:
	case hang:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(status)
		return
	}
	answer := httptest.NewRecorder()
	f.store.ServeHTTP(answer, r)
	sleep(r.Context(), time.Duration(f.delay.Load()))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // a process whose connection is lost calls again
}
