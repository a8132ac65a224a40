package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

// Time bounds and limits that the guarantees set.
const (
	drainBound       = 2 * time.Second
	propagationBound = 2 * time.Second
	cancelBound      = 3 * time.Second
	recoveryBound    = 12 * time.Second
	finishBound      = 18 * time.Second
	// connectionLossLimit is the time after its start in which a request that was not
	// forwarded may fail because the gateway closed the connection.
	connectionLossLimit = 200 * time.Millisecond
	// attempts is the largest number of runs that a request may have.
	attempts = 3
)

// checkAll compares what callers sent and received with what targets ran.
func (s *site) checkAll(l *recorder) {
	runs := s.journal.Runs()
	byRequest := map[string][]platformtest.Run{}
	for _, r := range runs {
		byRequest[r.Request] = append(byRequest[r.Request], r)
	}
	senders := map[string]sentRequest{}
	for _, one := range l.sent {
		senders[one.id] = one
		s.checkRuns(l, one, byRequest[one.id])
		s.checkUnaffected(l, one, byRequest[one.id])
		s.checkMoving(l, one, byRequest[one.id])
	}
	for _, j := range l.jobs {
		s.checkJob(l, j, byRequest)
	}
	for _, r := range runs {
		s.checkDrain(l, r, senders)
		s.checkAnnouncement(l, r, senders)
	}
	s.checkProcesses(l)
}

// checkRuns checks the number of runs of a request: at most one for requests that
// may not be retried, none for refused ones.
func (s *site) checkRuns(l *recorder, one sentRequest, runs []platformtest.Run) {
	limit := attempts
	if one.kind == "unsafe" || one.kind == "stream" {
		limit = 1
	}
	if len(runs) > limit {
		l.recordViolation("%s of kind %s ran %d times", one.id, one.kind, len(runs))
	}
	if one.outcome == refused && len(runs) > 0 {
		l.recordViolation("%s was refused with %d by %s and ran at %s", one.id, one.status, one.gateway, runs[0].Target)
	}
}

// checkUnaffected checks that a request that no fault affected was answered or
// refused: planned work must not make requests fail.
func (s *site) checkUnaffected(l *recorder, one sentRequest, runs []platformtest.Run) {
	if one.outcome == answered || one.outcome == refused || !s.faultLog.faultFree(one.begun, one.end, one.gateway) {
		return
	}
	if one.status == 0 && len(runs) == 0 && one.end.Sub(one.begun) < connectionLossLimit {
		return // sent while the gateway was closing the connection
	}
	l.recordViolation("%s at %s, sent at %s, ended after %v with status %d (%s) and %d runs, although no fault was active",
		one.id, one.gateway, formatTime(one.begun), one.end.Sub(one.begun), one.status, one.err, len(runs))
}

// checkMoving checks that a request on the route "moving" ran at a service that a
// configuration in force allowed.
func (s *site) checkMoving(l *recorder, one sentRequest, runs []platformtest.Run) {
	if one.kind != "moving" {
		return
	}
	for _, r := range runs {
		allowed := s.routeChanges.allowed(one.begun, r.Started, propagationBound)
		if !slices.Contains(allowed, r.Service) && s.faultLog.undisturbed(one.begun.Add(-propagationBound), r.Started, one.gateway) {
			l.recordViolation("%s, sent at %s, ran at service %s; the allowed services were %v", one.id, formatTime(one.begun), r.Service, allowed)
		}
	}
}

// checkDrain checks that a target got no request later than drainBound after it had
// been registered as leaving.
func (s *site) checkDrain(l *recorder, r platformtest.Run, senders map[string]sentRequest) {
	left, found := s.registry.leftAt(r.Target)
	if !found || r.Arrived.Before(left.Add(drainBound)) {
		return
	}
	by := batcherOf(r.Target)
	if one, online := senders[r.Request]; online {
		by = one.gateway
	}
	if s.faultLog.undisturbed(left, r.Arrived, by) {
		l.recordViolation("%s reached %s from %s %v after the target had been registered as leaving", r.Request, r.Target, by, r.Arrived.Sub(left))
	}
}

// checkAnnouncement checks that a target got no request from a gateway that its caller had
// sent later than drainBound after the gateway had passed on the target's announcement that
// it leaves. Only a restart or a suspension of the gateway excuses that.
func (s *site) checkAnnouncement(l *recorder, r platformtest.Run, senders map[string]sentRequest) {
	one, online := senders[r.Request]
	if !online {
		return
	}
	at, found := l.announced[announcement{one.gateway, r.Target}]
	if found && one.begun.After(at.Add(drainBound)) && !s.faultLog.interrupted(at, r.Arrived, one.gateway) {
		l.recordViolation("%s, sent at %s, reached %s from %s, which had passed on at %s that the target leaves",
			r.Request, formatTime(one.begun), r.Target, one.gateway, formatTime(at))
	}
}

// batcherOf returns the name of the batcher beside a target.
func batcherOf(target string) string {
	place := target[:strings.LastIndex(target, "-")]
	return strings.Replace(place, "place", "batcher", 1)
}

// checkJob checks the runs and the results of a job.
func (s *site) checkJob(l *recorder, j *job, byRequest map[string][]platformtest.Run) {
	onlyRefused := j.accepted.IsZero() && j.otherAnswers == 0 && j.refusals > 0
	for _, item := range j.items {
		runs := byRequest[item]
		if onlyRefused && len(runs) > 0 {
			l.recordViolation("%s ran although every submission of %s was refused", item, j.id)
		}
		s.checkAttempts(l, item, runs)
		s.checkCancelled(l, j, runs)
	}
	for at, r := range j.results {
		good := strings.HasPrefix(r.ID, jobKind)
		switch {
		case r.State == "completed" && (r.Text != expectedText(r.ID) || !good):
			l.recordViolation("%s: the text of %s at position %d is wrong or incomplete: %.80q", j.id, r.ID, at, r.Text)
		case r.State != "completed" && good && j.cancelRequested.IsZero():
			l.recordViolation("%s: %s was given up with the state %s", j.id, r.ID, r.State)
		}
	}
}

// checkAttempts checks the number of runs of items that always fail.
func (s *site) checkAttempts(l *recorder, item string, runs []platformtest.Run) {
	if strings.HasPrefix(item, platformtest.KeyPrefixRejected) && len(runs) > attempts {
		l.recordViolation("%s can never be done and ran %d times", item, len(runs))
	}
	if strings.HasPrefix(item, platformtest.KeyPrefixFailing) && len(runs) > attempts*attempts {
		l.recordViolation("%s fails each time and ran %d times", item, len(runs))
	}
}

// checkCancelled checks that no item of a job starts later than cancelBound after the
// job was cancelled.
func (s *site) checkCancelled(l *recorder, j *job, runs []platformtest.Run) {
	if j.cancelled.IsZero() {
		return
	}
	for _, r := range runs {
		by := batcherOf(r.Target)
		if r.Arrived.After(j.cancelled.Add(cancelBound)) && s.faultLog.undisturbed(j.cancelled, r.Arrived, by) {
			l.recordViolation("%s reached %s %v after the cancel of %s", r.Request, r.Target, r.Arrived.Sub(j.cancelled), j.id)
		}
	}
}

// checkProcesses checks that no process has exited by itself, and that processes
// wrote nothing but log lines.
func (s *site) checkProcesses(l *recorder) {
	for _, d := range s.daemons() {
		log := d.process.Log()
		if !d.process.Running() {
			l.recordViolation("%s exited by itself: %s", d.name, tailOf(log))
		}
		for line := range strings.Lines(log) {
			if _, err := logs.Parse(line); err != nil {
				l.recordViolation("%s wrote %q, which is not a log line", d.name, line)
				break
			}
		}
	}
}

// checkRecovery checks that every gateway becomes ready again, and that every job
// that was accepted and not cancelled has all its results, the same at each gateway.
func (s *site) checkRecovery(ctx context.Context, l *recorder) {
	begun := time.Now()
	for _, d := range s.gateways {
		if err := awaitReady(d, max(time.Second, time.Until(begun.Add(recoveryBound)))); err != nil {
			l.recordViolation("%v", err)
			_ = d.process.Signal(syscall.SIGQUIT) // its goroutine stacks show what it waits for
		}
	}
	c := newCaller(s, l, "inspector", rand.New(rand.NewPCG(1, 1)))
	for _, j := range l.jobs {
		if j.accepted.IsZero() || !j.cancelRequested.IsZero() {
			continue
		}
		for _, d := range s.gateways {
			if err := c.awaitJob(ctx, j, d, begun.Add(finishBound)); err != "" {
				l.recordViolation("%s", err)
			}
		}
	}
}

// awaitJob reads a job at a gateway until all its results are available. It returns
// an empty text, or the problem after the deadline.
func (c *caller) awaitJob(ctx context.Context, j *job, d *daemon, deadline time.Time) string {
	for {
		if c.readJob(ctx, j, d) {
			return ""
		}
		if time.Now().After(deadline) {
			return fmt.Sprintf("%s has %d of %d results at %s", j.id, len(j.results), len(j.items), d.name)
		}
		sleep(ctx, 100*time.Millisecond)
	}
}
