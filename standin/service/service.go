// Package service is a stand-in for a plain HTTP service: a booking service that
// counts the runs of each booking.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/backend"
)

// Faults are the injected faults. The counters are decremented by each call that
// a fault affects.
type Faults struct {
	// DelayMillis delays the answer to every call after it took effect, in
	// milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is the number of further calls that take effect but get no
	// answer.
	LoseAnswers int `json:"lose_answers"`
	// CutAnswers is the number of further calls that take effect and get a
	// truncated answer.
	CutAnswers int `json:"cut_answers"`
	// Down closes every connection before a call takes effect.
	Down bool `json:"down"`
}

// Booking is the answer to a booking.
type Booking struct {
	Slot string `json:"slot"`
	// Key is the idempotency key of the call.
	Key string `json:"key"`
	// Run is the number of runs of the key so far, this one included.
	Run int `json:"run"`
}

// Service is the booking service. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults Faults
	runs   map[string]int
	starts map[string]int64
}

// New returns a service without bookings.
func New() *Service { return &Service{runs: map[string]int{}, starts: map[string]int64{}} }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of runs of each key's booking.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Starts returns the last start time of each key's booking, in microseconds since
// the epoch.
func (s *Service) Starts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.starts)
}

// Handler serves POST /bookings, GET /bookings, GET /runs, GET /starts,
// GET /health and POST /faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveBooking)
	mux.HandleFunc("GET /bookings", s.serveRuns)
	mux.HandleFunc("GET /runs", s.serveRuns)
	mux.HandleFunc("GET /starts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Starts())
	})
	mux.HandleFunc("POST /faults", s.serveFaults)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}

func (s *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var request struct {
		Slot string `json:"slot"`
	}
	if err != nil || json.Unmarshal(body, &request) != nil || request.Slot == "" {
		http.Error(w, "a booking names its slot", http.StatusBadRequest)
		return
	}
	booking, delay, lose, cut := s.book(r.Header.Get(backend.HeaderIdempotencyKey), request.Slot)
	if booking.Run == 0 {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if cut {
		w.Header().Set("Content-Length", strconv.Itoa(announcedLength))
	}
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(booking)
}

// announcedLength is the Content-Length of a truncated answer, which is longer
// than any answer.
const announcedLength = 4096

// book runs a booking and returns the faults to apply to its answer. Run is zero
// if the service is down.
func (s *Service) book(key, slot string) (b Booking, delay time.Duration, lose, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return b, 0, true, false
	}
	s.runs[key]++
	s.starts[key] = time.Now().UnixMicro()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		lose = true
	}
	if s.faults.CutAnswers > 0 {
		s.faults.CutAnswers--
		cut = true
	}
	delay = time.Duration(s.faults.DelayMillis) * time.Millisecond
	return Booking{Slot: slot, Key: key, Run: s.runs[key]}, delay, lose, cut
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs())
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
