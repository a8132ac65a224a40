// Package service is a stand-in for a plain service: a booking office that
// counts how often each booking ran.
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

// Faults are the failures in force.
type Faults struct {
	// DelayMillis holds up every call after it took effect, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is the number of calls yet to take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
	// CutAnswers is the number of calls yet to take effect whose answer ends in
	// its middle.
	CutAnswers int `json:"cut_answers"`
	// Down closes every connection before a call takes effect.
	Down bool `json:"down"`
}

// Booking is the answer to a booking.
type Booking struct {
	Slot string `json:"slot"`
	Key  string `json:"key"`
	Run  int    `json:"run"`
}

// Service is the booking office.
type Service struct {
	mu     sync.Mutex
	faults Faults
	runs   map[string]int
	starts map[string]int64
}

// New returns an office without bookings.
func New() *Service { return &Service{runs: map[string]int{}, starts: map[string]int64{}} }

// SetFaults replaces the failures in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often the booking of each key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Starts returns when the booking of each key last began, in microseconds since
// the epoch.
func (s *Service) Starts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.starts)
}

// Handler serves POST /bookings, GET /bookings, GET /runs, GET
// /starts and POST /faults.
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
	var want struct {
		Slot string `json:"slot"`
	}
	if err != nil || json.Unmarshal(body, &want) != nil || want.Slot == "" {
		http.Error(w, "a booking names its slot", http.StatusBadRequest)
		return
	}
	booking, delay, lose, cut := s.book(r.Header.Get(backend.HeaderIdempotencyKey), want.Slot)
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

// announcedLength is the length, in bytes, that a cut answer announces and does not
// reach.
const announcedLength = 4096

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
