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

// The users' bounds.
const (
	drainBound       = 2 * time.Second
	propagationBound = 2 * time.Second
	cancelBound      = 3 * time.Second
	recoveryBound    = 12 * time.Second
	finishBound      = 18 * time.Second
	// lossSlack is how soon a request that was not passed on may be lost with the
	// connection on which it came.
	lossSlack = 200 * time.Millisecond
	// attempts is the most targets that may run a request.
	attempts = 3
)

// check compares what callers sent and got with what targets ran.
func (s *site) check(l *ledger) {
	runs := s.journal.Runs()
	byRequest := map[string][]platformtest.Run{}
	for _, r := range runs {
		byRequest[r.Request] = append(byRequest[r.Request], r)
	}
	senders := map[string]sent{}
	for _, one := range l.sent {
		senders[one.id] = one
		s.checkRuns(l, one, byRequest[one.id])
		s.checkCut(l, one, byRequest[one.id])
		s.checkMoving(l, one, byRequest[one.id])
	}
	for _, j := range l.jobs {
		s.checkJob(l, j, byRequest)
	}
	for _, r := range runs {
		s.checkDrain(l, r, senders)
	}
	s.checkProcesses(l)
}

// checkRuns checks how often a request ran.
func (s *site) checkRuns(l *ledger, one sent, runs []platformtest.Run) {
	most := attempts
	if one.kind == "unsafe" || one.kind == "stream" {
		most = 1
	}
	if len(runs) > most {
		l.wrong("%s of kind %s ran %d times", one.id, one.kind, len(runs))
	}
	if one.verdict == refused && len(runs) > 0 {
		l.wrong("%s was refused with %d by %s and ran at %s", one.id, one.status, one.gateway, runs[0].Target)
	}
}

// checkCut checks that what no failure touched was answered: planned work cuts
// nothing.
func (s *site) checkCut(l *ledger, one sent, runs []platformtest.Run) {
	if one.verdict == answered || one.verdict == refused || !s.faultLog.during(one.begun, one.end, one.gateway) {
		return
	}
	if one.status == 0 && len(runs) == 0 && one.end.Sub(one.begun) < lossSlack {
		return // it crossed the end of its connection
	}
	l.wrong("%s at %s, sent at %s, ended after %v with status %d (%s) and %d runs, though nothing had failed",
		one.id, one.gateway, clock(one.begun), one.end.Sub(one.begun), one.status, one.err, len(runs))
}

// checkMoving checks that a request of the moving route ran where a configuration
// in force says.
func (s *site) checkMoving(l *ledger, one sent, runs []platformtest.Run) {
	if one.kind != "moving" {
		return
	}
	for _, r := range runs {
		allowed := s.moves.allowed(one.begun, r.Started, propagationBound)
		if !slices.Contains(allowed, r.Service) && s.faultLog.untouched(one.begun.Add(-propagationBound), r.Started, one.gateway) {
			l.wrong("%s, sent at %s, ran at %s, allowed were %v", one.id, clock(one.begun), r.Service, allowed)
		}
	}
}

// checkDrain checks that a target got nothing long after it said that it leaves.
func (s *site) checkDrain(l *ledger, r platformtest.Run, senders map[string]sent) {
	left, found := s.registry.leftAt(r.Target)
	if !found || r.Arrived.Before(left.Add(drainBound)) {
		return
	}
	by := batcherOf(r.Target)
	if one, online := senders[r.Request]; online {
		by = one.gateway
	}
	if s.faultLog.untouched(left, r.Arrived, by) {
		l.wrong("%s came to %s from %s %v after it had said that it leaves", r.Request, r.Target, by, r.Arrived.Sub(left))
	}
}

// batcherOf returns the name of the batcher beside a target.
func batcherOf(target string) string {
	place := target[:strings.LastIndex(target, "-")]
	return strings.Replace(place, "place", "batcher", 1)
}

// checkJob checks the runs and the results of a job.
func (s *site) checkJob(l *ledger, j *job, byRequest map[string][]platformtest.Run) {
	onlyRefused := j.accepted.IsZero() && j.others == 0 && j.refusals > 0
	for _, item := range j.items {
		runs := byRequest[item]
		if onlyRefused && len(runs) > 0 {
			l.wrong("%s ran though every submission of %s was refused", item, j.id)
		}
		s.checkBudget(l, item, runs)
		s.checkEnded(l, j, runs)
	}
	for at, r := range j.results {
		good := strings.HasPrefix(r.ID, jobKind)
		switch {
		case r.State == "completed" && (r.Text != wholeText(r.ID) || !good):
			l.wrong("%s: the text of %s at position %d is not whole: %.80q", j.id, r.ID, at, r.Text)
		case r.State != "completed" && good && j.endAsked.IsZero():
			l.wrong("%s: %s is given up as %s", j.id, r.ID, r.State)
		}
	}
}

func (s *site) checkBudget(l *ledger, item string, runs []platformtest.Run) {
	if strings.HasPrefix(item, platformtest.KeyPrefixRejected) && len(runs) > attempts {
		l.wrong("%s can never be done and ran %d times", item, len(runs))
	}
	if strings.HasPrefix(item, platformtest.KeyPrefixFailing) && len(runs) > attempts*attempts {
		l.wrong("%s fails each time and ran %d times", item, len(runs))
	}
}

// checkEnded checks that nothing of a job starts long after its end.
func (s *site) checkEnded(l *ledger, j *job, runs []platformtest.Run) {
	if j.ended.IsZero() {
		return
	}
	for _, r := range runs {
		by := batcherOf(r.Target)
		if r.Arrived.After(j.ended.Add(cancelBound)) && s.faultLog.untouched(j.ended, r.Arrived, by) {
			l.wrong("%s came to %s %v after the end of %s", r.Request, r.Target, r.Arrived.Sub(j.ended), j.id)
		}
	}
}

// checkProcesses checks that no process ended by itself, and that all that they
// wrote are log lines.
func (s *site) checkProcesses(l *ledger) {
	for _, d := range s.daemons() {
		log := d.process.Log()
		if !d.process.Running() {
			l.wrong("%s ended by itself: %s", d.name, tailOf(log))
		}
		for line := range strings.Lines(log) {
			if _, err := logs.Parse(line); err != nil {
				l.wrong("%s wrote %q, which is no log line", d.name, line)
				break
			}
		}
	}
}

// recover checks that every gateway serves again, and that every job that was
// accepted and not ended has all its results, the same at each gateway.
func (s *site) recover(ctx context.Context, l *ledger) {
	begun := time.Now()
	for _, d := range s.gateways {
		if err := awaitReady(d, max(time.Second, time.Until(begun.Add(recoveryBound)))); err != nil {
			l.wrong("%v", err)
			_ = d.process.Signal(syscall.SIGQUIT) // its stacks tell what it waits for
		}
	}
	c := newCaller(s, l, "inspector", rand.New(rand.NewPCG(1, 1)))
	for _, j := range l.jobs {
		if j.accepted.IsZero() || !j.endAsked.IsZero() {
			continue
		}
		for _, d := range s.gateways {
			if err := c.awaitJob(ctx, j, d, begun.Add(finishBound)); err != "" {
				l.wrong("%s", err)
			}
		}
	}
}

// awaitJob reads a job at a gateway until all its results are there.
func (c *caller) awaitJob(ctx context.Context, j *job, d *daemon, deadline time.Time) string {
	for {
		if c.readJob(ctx, j, d) {
			return ""
		}
		if time.Now().After(deadline) {
			return fmt.Sprintf("%s has %d of %d results at %s", j.id, len(j.results), len(j.items), d.name)
		}
		rest(ctx, 100*time.Millisecond)
	}
}
