package hedging

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// scriptedExecutor runs a function in place of each target.
type scriptedExecutor map[string]func(ctx context.Context, sink func(*protocol.Frame) error) (*protocol.Frame, error)

// Execute implements Executor.
func (s scriptedExecutor) Execute(ctx context.Context, addr string, _ *protocol.AttemptRequest, sink func(*protocol.Frame) error) (*protocol.Frame, error) {
	return s[addr](ctx, sink)
}

func newScriptedRunner(s scriptedExecutor) *Runner {
	return New(Params{
		Executor: s,
		Build: func(t *routing.Target, resume []string) *protocol.AttemptRequest {
			return &protocol.AttemptRequest{Attempt: t.Name, Target: t.Name, Resume: resume}
		},
		StallTimeout: func(bool) (time.Duration, bool) { return stallTimeout, true },
		HedgeTarget:  func(*routing.Target) (*routing.Target, bool) { return target("b"), true },
	})
}

// deliver sends tokens from the given index on until sink refuses one.
func deliver(sink func(*protocol.Frame) error, from, to int) error {
	for i := from; i < to; i++ {
		if err := sink(&protocol.Frame{Kind: protocol.FrameToken, Token: token(i)}); err != nil {
			return err
		}
	}
	return nil
}

// TestOvertakenAttemptStaysOut has an overtaken attempt deliver after its run has
// ended, while the next run of the same request waits for its first token.
func TestOvertakenAttemptStaysOut(t *testing.T) {
	const late, runs = 4 * stallTimeout, 40
	synctest.Test(t, func(t *testing.T) {
		for range runs {
			r := newScriptedRunner(scriptedExecutor{
				"a": func(_ context.Context, sink func(*protocol.Frame) error) (*protocol.Frame, error) {
					<-time.After(late)
					if err := deliver(sink, 0, 1); err != nil {
						return nil, err
					}
					<-time.After(time.Millisecond)
					return nil, deliver(sink, 1, answerTokens)
				},
				"b": func(_ context.Context, sink func(*protocol.Frame) error) (*protocol.Frame, error) {
					if err := deliver(sink, 0, 1); err != nil {
						return nil, err
					}
					return nil, protocol.ErrTargetFailed.New("crash")
				},
				"c": func(_ context.Context, sink func(*protocol.Frame) error) (*protocol.Frame, error) {
					<-time.After(2 * late)
					return &protocol.Frame{Kind: protocol.FrameEnd}, deliver(sink, 1, answerTokens)
				},
			})
			assert.Assert(t, r.Run(t.Context(), target("a")).Err != nil)
			r.params.HedgeTarget = nil
			out := r.Run(t.Context(), target("c"))
			assert.NilError(t, out.Err)
			assert.Equal(t, out.Target.Name, "c")
			assert.DeepEqual(t, r.Tokens, answerText())
		}
	})
}

// TestRefusedHedgeHidesNoRun has the first attempt break off after a hedge, which
// is then refused: the race says that the call may have run.
func TestRefusedHedgeHidesNoRun(t *testing.T) {
	tests := map[string]struct {
		first error
		ran   bool
	}{
		"the first broke off":    {protocol.ErrTruncated.New("cut"), true},
		"the first was refused":  {protocol.ErrBusy.New("full"), false},
		"the first target ended": {protocol.ErrTargetFailed.New("crash"), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newScriptedRunner(scriptedExecutor{
					"a": func(context.Context, func(*protocol.Frame) error) (*protocol.Frame, error) {
						<-time.After(2 * stallTimeout)
						return nil, test.first
					},
					"b": func(context.Context, func(*protocol.Frame) error) (*protocol.Frame, error) {
						<-time.After(3 * stallTimeout)
						return nil, protocol.ErrBusy.New("full")
					},
				})
				out := r.Run(t.Context(), target("a"))
				assert.Equal(t, protocol.OutcomeOf(out.Err), protocol.OutcomeNotRun)
				assert.Equal(t, out.MayHaveRun, test.ran)
			})
		})
	}
}
