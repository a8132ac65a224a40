package state

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const testKey = "demo/k"

// execution is one delivery of an attempt to a sidecar.
type execution struct {
	attempt, holder string
	fingerprint     string
	// startedAt is the number of log entries after the first append of its start.
	startedAt int
	released  bool
	ran       bool
}

// requestLife drives one key through appends in any order, with repeated
// appends, paused holders and entries that give up.
type requestLife struct {
	fold       *Requests
	log        []protocol.Record
	executions []*execution
	// reportedNotRun holds the attempts that some entry has called not_run.
	reportedNotRun map[string]bool
	result         protocol.Position
}

func (l *requestLife) append(rec protocol.Record) {
	l.log = append(l.log, rec)
	l.fold.Apply(protocol.PositionAt(uint64(len(l.log)), 0), &rec)
}

func (l *requestLife) startOf(x *execution) protocol.Record {
	return protocol.Record{Start: &protocol.RequestStart{Key: testKey, Attempt: x.attempt, Holder: x.holder, Fingerprint: x.fingerprint}}
}

func (l *requestLife) pick(t *rapid.T, label string, ok func(*execution) bool) *execution {
	var found []*execution
	for _, x := range l.executions {
		if ok(x) {
			found = append(found, x)
		}
	}
	if len(found) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(found).Draw(t, label)
}

// Deliver hands a new attempt, or again an old one, to a sidecar.
func (l *requestLife) Deliver(t *rapid.T) {
	if len(l.executions) >= 8 {
		t.Skip("enough")
	}
	attempt := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "attempt")
	x := &execution{
		attempt:     attempt,
		holder:      fmt.Sprintf("sidecar-%d", len(l.executions)),
		fingerprint: map[string]string{"a": "x", "b": "x", "c": "y"}[attempt],
	}
	l.executions = append(l.executions, x)
}

// Start appends a start, perhaps once more, perhaps after its holder gave up.
func (l *requestLife) Start(t *rapid.T) {
	x := l.pick(t, "start", func(*execution) bool { return true })
	l.append(l.startOf(x))
	if x.startedAt == 0 {
		x.startedAt = len(l.log)
	}
}

// Run lets a holder that reads its start back as first call its target.
func (l *requestLife) Run(t *rapid.T) {
	x := l.pick(t, "run", func(x *execution) bool { return x.startedAt > 0 && !x.released && !x.ran })
	x.ran = l.fold.MayRun(testKey, x.attempt, x.holder)
}

// Release lets a holder that has not run give up for good.
func (l *requestLife) Release(t *rapid.T) {
	x := l.pick(t, "release", func(x *execution) bool { return !x.ran })
	x.released = true
	l.append(protocol.Record{Release: &protocol.RequestRelease{Key: testKey, Attempt: x.attempt, Holder: x.holder}})
}

// Void lets an entry give an attempt up and read back what became of it.
func (l *requestLife) Void(t *rapid.T) {
	attempt := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "void")
	l.append(protocol.Record{Void: &protocol.RequestVoid{Key: testKey, Attempt: attempt}})
	if l.fold.Voided(testKey, attempt) {
		l.reportedNotRun[attempt] = true
	}
}

// Complete appends the result of an execution that ran, perhaps once more.
func (l *requestLife) Complete(t *rapid.T) {
	x := l.pick(t, "complete", func(x *execution) bool { return x.ran })
	l.append(protocol.Record{Complete: &protocol.RequestComplete{
		Key: testKey, Attempt: x.attempt, Fingerprint: x.fingerprint, Result: protocol.Result{Outcome: protocol.OutcomeCompleted},
	}})
}

// Check implements the invariants of a key's life.
func (l *requestLife) Check(t *rapid.T) {
	runs := 0
	for _, x := range l.executions {
		if !x.ran {
			continue
		}
		runs++
		if l.reportedNotRun[x.attempt] {
			t.Fatalf("attempt %s ran and was called not_run", x.attempt)
		}
	}
	if runs > 1 {
		t.Fatalf("%d runs", runs)
	}
	r, _ := l.fold.Get(testKey)
	if l.result != 0 && r.ResultAt != l.result {
		t.Fatalf("the result moved from %s to %s", l.result, r.ResultAt)
	}
	if l.result = r.ResultAt; l.result != 0 && runs != 1 {
		t.Fatalf("a result after %d runs", runs)
	}
	again := NewRequests()
	for i := range l.log {
		again.Apply(protocol.PositionAt(uint64(i+1), 0), &l.log[i])
	}
	if other, _ := again.Get(testKey); len(l.log) > 0 && fmt.Sprint(other.Started, other.Voided, other.ResultAt) != fmt.Sprint(r.Started, r.Voided, r.ResultAt) {
		t.Fatalf("two readers of one log disagree: %v and %v", r, other)
	}
}

// requestLifeSeed fixes the sequences that TestRequestLife tries.
const requestLifeSeed = "4711"

func TestRequestLife(t *testing.T) {
	t.Logf("seed %s", requestLifeSeed)
	assert.NilError(t, flag.Set("rapid.seed", requestLifeSeed))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		l := &requestLife{fold: NewRequests(), reportedNotRun: map[string]bool{}}
		t.Repeat(rapid.StateMachineActions(l))
	})
}

// TestRequestOrders checks single orders of records that are easy to miss.
func TestRequestOrders(t *testing.T) {
	start := func(attempt, holder, body string) protocol.Record {
		return protocol.Record{Start: &protocol.RequestStart{Key: testKey, Attempt: attempt, Holder: holder, Fingerprint: body}}
	}
	void := func(attempt string) protocol.Record {
		return protocol.Record{Void: &protocol.RequestVoid{Key: testKey, Attempt: attempt}}
	}
	release := func(attempt, holder string) protocol.Record {
		return protocol.Record{Release: &protocol.RequestRelease{Key: testKey, Attempt: attempt, Holder: holder}}
	}
	complete := func(attempt, body string) protocol.Record {
		return protocol.Record{Complete: &protocol.RequestComplete{Key: testKey, Attempt: attempt, Fingerprint: body}}
	}
	tests := []struct {
		name    string
		log     []protocol.Record
		attempt string
		holder  string
		mayRun  bool
		voided  bool
		result  uint64
	}{
		{"void before start", []protocol.Record{void("a"), start("a", "s", "x")}, "a", "s", false, true, 0},
		{"start before void", []protocol.Record{start("a", "s", "x"), void("a")}, "a", "s", true, false, 0},
		{"resend after void", []protocol.Record{void("a"), start("b", "s", "x")}, "b", "s", true, false, 0},
		{"resend after release", []protocol.Record{start("a", "s", "x"), release("a", "s"), start("b", "t", "x")}, "b", "t", true, false, 0},
		{"release of another holder", []protocol.Record{start("a", "s", "x"), release("a", "t")}, "a", "s", true, false, 0},
		{"start that lands after its release", []protocol.Record{release("a", "s"), start("a", "s", "x")}, "a", "s", false, true, 0},
		{"start appended again after release", []protocol.Record{start("a", "s", "x"), release("a", "s"), start("a", "s", "x")}, "a", "s", false, true, 0},
		{"another body", []protocol.Record{start("a", "s", "x"), release("a", "s"), start("b", "t", "y")}, "b", "t", false, false, 0},
		{"start after a result", []protocol.Record{complete("a", "x"), start("b", "t", "x")}, "b", "t", false, false, 1},
		{"two results", []protocol.Record{complete("a", "x"), complete("b", "x")}, "b", "t", false, false, 1},
		{"result of another body", []protocol.Record{void("a"), start("a", "s", "x"), complete("b", "y"), complete("c", "y")}, "a", "s", false, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewRequests()
			for i := range tt.log {
				f.Apply(protocol.PositionAt(uint64(i+1), 0), &tt.log[i])
			}
			r, _ := f.Get(testKey)
			assert.Equal(t, f.MayRun(testKey, tt.attempt, tt.holder), tt.mayRun)
			assert.Equal(t, f.Voided(testKey, tt.attempt), tt.voided)
			assert.Equal(t, r.ResultAt.Offset(), tt.result)
		})
	}
}
