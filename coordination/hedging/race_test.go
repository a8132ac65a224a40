package hedging

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	answerTokens = 20
	stallTimeout = 50 * time.Millisecond
)

func token(i int) string { return fmt.Sprintf("t%d ", i) }

// fakeTarget generates the answer at its speed and fails where it is told to.
type fakeTarget struct {
	tokenTime time.Duration
	stallAt   int
	stall     time.Duration
	failAt    int
	err       error
}

type fakeExecutor map[string]*fakeTarget

// Execute implements Executor.
func (f fakeExecutor) Execute(ctx context.Context, addr string, a *protocol.AttemptRequest, sink func(*protocol.Frame) error) (*protocol.Frame, error) {
	t := f[addr]
	if err := sink(&protocol.Frame{Kind: protocol.FrameHead, Attempt: a.Attempt}); err != nil {
		return nil, err
	}
	for i := len(a.Resume); i < answerTokens; i++ {
		delay := t.tokenTime
		if t.stall > 0 && i == t.stallAt {
			delay = t.stall
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, protocol.ErrTruncated.New("cancelled")
		}
		if t.err != nil && i == t.failAt {
			return nil, t.err
		}
		if err := sink(&protocol.Frame{Kind: protocol.FrameToken, Token: token(i)}); err != nil {
			return nil, err
		}
	}
	return &protocol.Frame{Kind: protocol.FrameEnd}, nil
}

func target(name string) *routing.Target {
	return &routing.Target{Name: name, HTTP: name, InFlight: &atomic.Int64{}}
}

type result struct {
	outcome Outcome
	text    []string
	took    time.Duration
	stalled []string
	first   *routing.Target
	second  *routing.Target
}

// runHedged races a on target "a", with "b" for a second attempt.
func runHedged(fleet fakeExecutor, second bool) result {
	res := result{first: target("a"), second: target("b")}
	p := Params{
		Executor: fleet,
		Build: func(t *routing.Target, resume []string) *protocol.AttemptRequest {
			return &protocol.AttemptRequest{Attempt: t.Name, Target: t.Name, Resume: resume}
		},
		StallTimeout: func(bool) (time.Duration, bool) { return stallTimeout, true },
		OnToken:      func(token string) error { res.text = append(res.text, token); return nil },
		OnStalled:    func(t *routing.Target, _ time.Duration) { res.stalled = append(res.stalled, t.Name) },
	}
	if second {
		p.HedgeTarget = func(*routing.Target) (*routing.Target, bool) { return res.second, true }
	}
	begun := time.Now()
	res.outcome = New(p).Run(context.Background(), res.first)
	res.took = time.Since(begun)
	synctest.Wait()
	return res
}

func answerText() []string {
	var text []string
	for i := range answerTokens {
		text = append(text, token(i))
	}
	return text
}

func TestRaces(t *testing.T) {
	const step = 10 * time.Millisecond
	crash := protocol.ErrTargetFailed.New("crash")
	tests := map[string]struct {
		fleet   fakeExecutor
		second  bool
		winner  string
		hedged  bool
		stalled []string
		err     *errorx.Type
		atMost  time.Duration
	}{
		"no stall":                        {fakeExecutor{"a": {tokenTime: step}, "b": {tokenTime: step}}, true, "a", false, nil, nil, answerTokens * step},
		"stall before the first token":    {fakeExecutor{"a": {tokenTime: step, stall: time.Minute}, "b": {tokenTime: step}}, true, "b", true, []string{"a"}, nil, stallTimeout + answerTokens*step},
		"stall in the middle":             {fakeExecutor{"a": {tokenTime: step, stallAt: 10, stall: time.Minute}, "b": {tokenTime: step}}, true, "b", true, []string{"a"}, nil, stallTimeout + answerTokens*step},
		"the first recovers":              {fakeExecutor{"a": {tokenTime: step, stallAt: 10, stall: stallTimeout + step}, "b": {tokenTime: time.Minute}}, true, "a", true, []string{"b"}, nil, stallTimeout + (answerTokens+1)*step},
		"the second fails":                {fakeExecutor{"a": {tokenTime: step, stallAt: 10, stall: 2 * stallTimeout}, "b": {tokenTime: step, err: crash, failAt: 10}}, true, "a", true, nil, nil, 2*stallTimeout + answerTokens*step},
		"the first fails after a hedge":   {fakeExecutor{"a": {tokenTime: step, stallAt: 10, stall: 2 * stallTimeout, err: crash, failAt: 10}, "b": {tokenTime: step, stallAt: 10, stall: stallTimeout + 2*step}}, true, "b", true, nil, nil, time.Minute},
		"both fail":                       {fakeExecutor{"a": {tokenTime: step, stallAt: 10, stall: 2 * stallTimeout, err: crash, failAt: 10}, "b": {tokenTime: step, err: crash, failAt: 10}}, true, "a", true, nil, protocol.ErrTargetFailed, time.Minute},
		"a stall that must not be hedged": {fakeExecutor{"a": {tokenTime: step, stallAt: 10, stall: time.Second}}, false, "a", false, nil, nil, time.Second + answerTokens*step},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				res := runHedged(test.fleet, test.second)
				assert.Equal(t, res.outcome.Target.Name, test.winner)
				assert.Equal(t, res.outcome.Hedged, test.hedged)
				assert.DeepEqual(t, res.stalled, test.stalled)
				assert.Assert(t, res.took <= test.atMost, "took %v", res.took)
				assert.Equal(t, res.first.InFlight.Load()+res.second.InFlight.Load(), int64(0))
				if test.err != nil {
					assert.Assert(t, errorx.IsOfType(res.outcome.Err, test.err), "%v", res.outcome.Err)
					return
				}
				assert.NilError(t, res.outcome.Err)
				assert.DeepEqual(t, res.text, answerText())
			})
		})
	}
}

// TestHedgesAreBounded races two targets whose every token takes longer than the
// wait: the number of second attempts stays bounded.
func TestHedgesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res := runHedged(fakeExecutor{"a": {tokenTime: 2 * stallTimeout}, "b": {tokenTime: 2 * stallTimeout}}, true)
		assert.NilError(t, res.outcome.Err)
		assert.Assert(t, len(res.stalled) <= MaxHedges, "%v", res.stalled)
	})
}

// TestEveryTokenOnce races targets of random speeds, stalls and failures: what
// the caller got is always a prefix of the answer, and whole where the race says
// so.
func TestEveryTokenOnce(t *testing.T) {
	const seed, races = 5, 300
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	random := func() *fakeTarget {
		f := &fakeTarget{tokenTime: time.Duration(rng.IntN(80)) * time.Millisecond}
		if rng.IntN(2) == 0 {
			f.stallAt, f.stall = rng.IntN(answerTokens), time.Duration(rng.IntN(500))*time.Millisecond
		}
		if rng.IntN(3) == 0 {
			f.failAt, f.err = rng.IntN(answerTokens), protocol.ErrTargetFailed.New("crash")
		}
		return f
	}
	for range races {
		synctest.Test(t, func(t *testing.T) {
			res := runHedged(fakeExecutor{"a": random(), "b": random()}, true)
			assert.DeepEqual(t, append([]string{}, res.text...), answerText()[:len(res.text)])
			if res.outcome.Err == nil {
				assert.Equal(t, len(res.text), answerTokens)
			}
		})
	}
}

// TestCancelledRaceEnds ends the context of races at many points of their
// answers: each race returns, and what it says is that the outcome is unknown.
func TestCancelledRaceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for i := range 200 {
			fleet := fakeExecutor{"a": {tokenTime: time.Millisecond}}
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*50*time.Microsecond)
			r := New(Params{
				Executor: fleet,
				Build: func(t *routing.Target, resume []string) *protocol.AttemptRequest {
					return &protocol.AttemptRequest{Attempt: t.Name, Target: t.Name, Resume: resume}
				},
				StallTimeout: func(bool) (time.Duration, bool) { return stallTimeout, true },
			})
			out := r.Run(ctx, target("a"))
			cancel()
			assert.Equal(t, protocol.OutcomeOf(out.Err), protocol.OutcomeUnknown, "%v", out.Err)
		}
	})
}
