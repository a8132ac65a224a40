package soak

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

// storeDoor serves the store to one process: it can delay that process's calls or turn them
// away, while the others are served.
type storeDoor struct {
	store http.Handler
	// delay is how late the store's answers arrive, as a time.Duration.
	delay atomic.Int64
	// refusal is the status with which calls are answered, 0 for none. It is hang for no
	// answer.
	refusal atomic.Int64
}

// hang is the refusal of a store that accepts calls and answers none.
const hang = -1

func (d *storeDoor) setDelay(delay time.Duration) { d.delay.Store(int64(delay)) }

// ServeHTTP implements http.Handler.
func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch status := int(d.refusal.Load()); status {
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
	d.store.ServeHTTP(answer, r)
	sleep(r.Context(), time.Duration(d.delay.Load()))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // a process whose connection is lost calls again
}
