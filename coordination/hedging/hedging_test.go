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

// fakeTarget generates the answer with tokenTime per token, takes stall for the
// token at stallAt, and fails with err at failAt.
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

// runHedged runs a request at target "a". If second is true, a second attempt may
// be made at target "b".
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
	start := time.Now()
	res.outcome = New(p).Run(context.Background(), res.first)
	res.took = time.Since(start)
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

func TestHedging(t *testing.T) {
	const tokenTime = 10 * time.Millisecond
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
		"no stall":                     {fakeExecutor{"a": {tokenTime: tokenTime}, "b": {tokenTime: tokenTime}}, true, "a", false, nil, nil, answerTokens * tokenTime},
		"stall before the first token": {fakeExecutor{"a": {tokenTime: tokenTime, stall: time.Minute}, "b": {tokenTime: tokenTime}}, true, "b", true, []string{"a"}, nil, stallTimeout + answerTokens*tokenTime},
		"stall in the middle":          {fakeExecutor{"a": {tokenTime: tokenTime, stallAt: 10, stall: time.Minute}, "b": {tokenTime: tokenTime}}, true, "b", true, []string{"a"}, nil, stallTimeout + answerTokens*tokenTime},
		"first recovers":               {fakeExecutor{"a": {tokenTime: tokenTime, stallAt: 10, stall: stallTimeout + tokenTime}, "b": {tokenTime: time.Minute}}, true, "a", true, []string{"b"}, nil, stallTimeout + (answerTokens+1)*tokenTime},
		"second fails":                 {fakeExecutor{"a": {tokenTime: tokenTime, stallAt: 10, stall: 2 * stallTimeout}, "b": {tokenTime: tokenTime, err: crash, failAt: 10}}, true, "a", true, nil, nil, 2*stallTimeout + answerTokens*tokenTime},
		"first fails after the hedge":  {fakeExecutor{"a": {tokenTime: tokenTime, stallAt: 10, stall: 2 * stallTimeout, err: crash, failAt: 10}, "b": {tokenTime: tokenTime, stallAt: 10, stall: stallTimeout + 2*tokenTime}}, true, "b", true, nil, nil, time.Minute},
		"both fail":                    {fakeExecutor{"a": {tokenTime: tokenTime, stallAt: 10, stall: 2 * stallTimeout, err: crash, failAt: 10}, "b": {tokenTime: tokenTime, err: crash, failAt: 10}}, true, "a", true, nil, protocol.ErrTargetFailed, time.Minute},
		"stall of a request that must not be hedged": {fakeExecutor{"a": {tokenTime: tokenTime, stallAt: 10, stall: time.Second}}, false, "a", false, nil, nil, time.Second + answerTokens*tokenTime},
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

// TestHedgesAreBounded runs a request at two targets where every token takes longer
// than the stall timeout: the number of second attempts stays within MaxHedges.
func TestHedgesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res := runHedged(fakeExecutor{"a": {tokenTime: 2 * stallTimeout}, "b": {tokenTime: 2 * stallTimeout}}, true)
		assert.NilError(t, res.outcome.Err)
		assert.Assert(t, len(res.stalled) <= MaxHedges, "%v", res.stalled)
	})
}

// TestEveryTokenOnce hedges between targets with random speeds, stalls and failures:
// the caller always gets a prefix of the answer, and the complete answer if the run
// succeeds.
func TestEveryTokenOnce(t *testing.T) {
	const seed, runs = 5, 300
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
	for range runs {
		synctest.Test(t, func(t *testing.T) {
			res := runHedged(fakeExecutor{"a": random(), "b": random()}, true)
			assert.DeepEqual(t, append([]string{}, res.text...), answerText()[:len(res.text)])
			if res.outcome.Err == nil {
				assert.Equal(t, len(res.text), answerTokens)
			}
		})
	}
}

// TestCancelledRunReturns cancels the context of runs at many points of their
// answers: each run returns, with an unknown outcome.
func TestCancelledRunReturns(t *testing.T) {
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
