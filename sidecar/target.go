package sidecar

import (
	"context"
	"net"
	"net/url"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// probe checks whether the target is up. The boot ID that an engine reports goes to the
// crash detector.
func (r *runner) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*healthInterval)
	defer cancel()
	if r.target.Type == settings.TargetEngine {
		load, err := r.engine.Load(ctx)
		if err == nil {
			r.crashDetector.observeBoot(load.Boot)
		}
		return err
	}
	u, err := url.Parse(r.target.URL)
	if err != nil {
		return protocol.ErrBadRequest.Wrap(err, "target URL")
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return protocol.ErrNotSent.Wrap(err, "probe")
	}
	return conn.Close()
}

// targetBoot returns the target's boot ID, empty for a target that reports none. It fails
// if the target is down.
func (r *runner) targetBoot(ctx context.Context) (string, error) {
	if r.target.Type != settings.TargetEngine {
		return "", r.probe(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*healthInterval)
	defer cancel()
	load, err := r.engine.Load(ctx)
	return load.Boot, err
}

// callService runs a call of a plain service.
func (r *runner) callService(ctx context.Context, a *protocol.AttemptRequest) (protocol.Result, error) {
	r.attemptSent(a)
	result, err := r.service.Do(ctx, a.Key, &a.Call)
	return result, r.attemptEnded(ctx, a, err)
}

// generate runs a model call and passes each token to sink. The call must be sent by
// sendBy; zero means no limit.
func (r *runner) generate(ctx context.Context, a *protocol.AttemptRequest, sendBy time.Time, sink func(string) error) error {
	r.attemptSent(a)
	tokens := len(a.Resume)
	err := r.generateOrStop(ctx, a, sendBy, func(token string) error {
		if tokens == len(a.Resume) {
			r.crashDetector.markProductive(a.Attempt)
		}
		tokens++
		return sink(token)
	})
	if err == nil && a.Class == protocol.ClassOnline {
		r.stats.recordAnswer(a, tokens)
	}
	return r.attemptEnded(ctx, a, err)
}
