// Package engine is a stand-in for a model engine: continuous batching of a set
// width and speed, a prefix cache of limited size, streams that can be
// cancelled and resumed, a load report that lags, and orders with fencing
// numbers. Its answers are a function of the prompt, so that a test can tell a
// whole answer from a damaged one.
package engine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Params are the properties of an engine.
type Params struct {
	// Width is the number of requests that generate at the same time.
	Width int
	// TokenTime is the time of one decoding step.
	TokenTime time.Duration
	// PrefillTime is the time to read one prompt token that is not cached.
	PrefillTime time.Duration
	// CacheTokens is the size of the prefix cache, in tokens.
	CacheTokens int
	// ReportLag is how old the load report is.
	ReportLag time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// LoadTime is how long an order to load takes.
	LoadTime time.Duration
	// RestartTime is how long the engine is down after a crash.
	RestartTime time.Duration
}

// DefaultMaxTokens is the length of an answer whose request sets none.
const DefaultMaxTokens = 16

// Faults are the failures in force.
type Faults struct {
	// OmittedEndMarkers is the number of streams yet to end in order after their last
	// token, without the end marker.
	OmittedEndMarkers int `json:"cut_ends"`
	// Stalls is the number of requests yet to go silent after CutAfter tokens.
	Stalls int `json:"stalls"`
	// Cuts is the number of streams yet to be cut after CutAfter tokens.
	Cuts     int `json:"cuts"`
	CutAfter int `json:"cut_after"`
	// KeepsRunning makes requests go on after they were told to stop, and the
	// order to stop fail.
	KeepsRunning bool `json:"keeps_running"`
	// TokenBytes pads each token to this size.
	TokenBytes int `json:"token_bytes"`
}

// Run is a request that the engine executed.
type Run struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	// Ended says how: done, cancelled, crashed or refused.
	Ended string `json:"ended"`
	// StartUnixMicros is when it began, in microseconds since the epoch.
	StartUnixMicros int64 `json:"start_us"`
}

// Engine is the engine.
type Engine struct {
	params Params
	slots  chan struct{}

	mu          sync.Mutex
	faults      Faults
	slowdown    float64
	downUntil   time.Time
	boot        int
	crashSignal chan struct{}
	// active holds the requests that run or wait for a place.
	active map[string]*activeRun
	// cancelled holds the requests that were told to stop before they arrived.
	cancelled *quarantine.RecentSet
	waiting   int
	// queued counts the requests that found no place in the running batch.
	queued  int
	runs    []Run
	cache   *prefixCache
	orders  []backend.LoadOrder
	fence   uint64
	reports []report
}

// maxCancelled bounds the requests remembered as told to stop.
const maxCancelled = 4096

// activeRun is a request that has a place in the running batch, or waits for one.
type activeRun struct {
	cancel context.CancelFunc
	// released is closed once it has ended and its place is free again.
	released chan struct{}
}

type report struct {
	at   time.Time
	load backend.EngineLoad
}

// New returns an idle engine.
func New(p Params) *Engine {
	if p.Width <= 0 {
		p.Width = 1
	}
	return &Engine{
		params:      p,
		slots:       make(chan struct{}, p.Width),
		slowdown:    1,
		crashSignal: make(chan struct{}),
		active:      map[string]*activeRun{},
		cancelled:   quarantine.NewRecentSet(maxCancelled),
		cache:       newPrefixCache(p.CacheTokens),
	}
}

// SetSlowdown multiplies all times of the engine by factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetFaults replaces the failures in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// takeFault returns the failures in force and takes one of those that count down.
func (e *Engine) takeFault(pick func(*Faults) *int) (Faults, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if pick == nil {
		return f, false
	}
	left := pick(&e.faults)
	if *left <= 0 {
		return f, false
	}
	*left--
	return f, true
}

// Queued returns the number of requests so far that had to wait in the engine.
func (e *Engine) Queued() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queued
}

// Crash cuts every request and refuses connections for the restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.downUntil = time.Now().Add(e.params.RestartTime)
	e.boot++
	close(e.crashSignal)
	e.crashSignal = make(chan struct{})
}

// Runs returns every request executed so far, in order of their starts.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Orders returns the orders that took effect.
func (e *Engine) Orders() []backend.LoadOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]backend.LoadOrder(nil), e.orders...)
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

func (e *Engine) currentCrashSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashSignal
}

// register notes a request that is to run. It reports false for one that was told to
// stop before.
func (e *Engine) register(id string, run *activeRun) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelled.Has(id) {
		return false
	}
	e.active[id] = run
	return true
}

// unregister notes that a request which arrived has ended and holds no place.
func (e *Engine) unregister(id string, run *activeRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(run.released)
	if e.active[id] == run {
		delete(e.active, id)
	}
}

func (e *Engine) startRun(id, prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, Run{ID: id, Prompt: prompt, StartUnixMicros: time.Now().UnixMicro()})
	return len(e.runs) - 1
}

func (e *Engine) endRun(index int, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[index].Ended = how
	<-e.slots
}

func (e *Engine) isActive(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active[id] != nil
}

// cancel stops the request, also one that is still on its way, and returns once its
// place is free, or false where ctx ends before.
func (e *Engine) cancel(ctx context.Context, id string) bool {
	e.mu.Lock()
	run := e.active[id]
	if run == nil {
		e.cancelled.Add(id)
	}
	e.mu.Unlock()
	if run == nil {
		return true
	}
	run.cancel()
	select {
	case <-run.released:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquireSlot waits for a place in the running batch, first come, first served.
func (e *Engine) acquireSlot(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	e.addWaiting(1)
	defer e.addWaiting(-1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) addWaiting(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += n
	e.queued += max(0, n)
}

// sleep waits for d at the engine's current speed. It reports whether the
// request may go on.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	e.mu.Lock()
	d = time.Duration(float64(d) * e.slowdown)
	e.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// executeOrder loads a model. A crash meanwhile loses the order.
func (e *Engine) executeOrder(ctx context.Context, o backend.LoadOrder) error {
	if err := e.checkFence(o); err != nil {
		return err
	}
	crashed := e.currentCrashSignal()
	if !e.sleep(context.WithoutCancel(ctx), e.params.LoadTime) || isClosed(crashed) {
		return protocol.ErrTargetFailed.New("crashed while loading")
	}
	return e.recordOrder(o)
}

func (e *Engine) checkFence(o backend.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.params.ChecksFence && o.Fence < e.fence {
		return protocol.ErrVersionConflict.New("fencing number %d, have seen %d", o.Fence, e.fence)
	}
	e.fence = max(e.fence, o.Fence)
	return nil
}

func (e *Engine) recordOrder(o backend.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.params.ChecksFence && o.Fence < e.fence {
		return protocol.ErrVersionConflict.New("fencing number %d, have seen %d", o.Fence, e.fence)
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	return nil
}

// loadReport returns the report of ReportLag ago.
func (e *Engine) loadReport() backend.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	current := backend.EngineLoad{
		Running:         len(e.slots),
		Waiting:         e.waiting,
		CacheHitTokens:  e.cache.hits,
		CacheMissTokens: e.cache.misses,
	}
	if n := len(e.orders); n > 0 {
		current.Model, current.Version = e.orders[n-1].Model, e.orders[n-1].Version
	}
	e.reports = append(e.reports, report{at: now, load: current})
	old := 0
	for i, r := range e.reports {
		if now.Sub(r.at) >= e.params.ReportLag {
			old = i
		}
	}
	e.reports = e.reports[old:]
	load := e.reports[0].load
	load.Boot = strconv.Itoa(e.boot)
	return load
}

// CacheTokens returns how many prompt tokens were found in the prefix cache, and
// how many were not.
func (e *Engine) CacheTokens() (hits, misses uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.hits, e.cache.misses
}
