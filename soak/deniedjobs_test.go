package soak

import (
	"context"
	"flag"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

var (
	readSeed     = flag.Uint64("read-seed", 37, "the seed of TestAcceptedJobsAreNeverDenied")
	readBeyond   = flag.Bool("read-beyond", true, "whether readers ask for positions after the last known result")
	readFaults   = flag.String("read-faults", ".", "which faults TestAcceptedJobsAreNeverDenied injects, a regular expression")
	readDuration = flag.Duration("read-duration", 20*time.Second, "how long TestAcceptedJobsAreNeverDenied disturbs")
)

// manyGateways is the layout of a site whose gateways are disturbed apart from each other.
var manyGateways = layout{gateways: 6, modelTargets: 4, callTargets: 1, eventTime: 25 * time.Millisecond}

// readerFaults are the faults that make gateways know different parts of the log.
var readerFaults = []fault{
	{"late answers", func(s *site, ctx context.Context, rng *rand.Rand, duration time.Duration) {
		d := pick(rng, s.gateways)
		d.storeFaults.setDelay(time.Duration(100+rng.IntN(800)) * time.Millisecond)
		sleep(ctx, 2*duration)
		d.storeFaults.setDelay(0)
	}},
	{"refused", func(s *site, ctx context.Context, rng *rand.Rand, duration time.Duration) {
		d := pick(rng, s.daemons())
		d.storeFaults.refusal.Store(int64(pick(rng, []int{hang, http.StatusServiceUnavailable, http.StatusTooManyRequests})))
		sleep(ctx, 2*duration)
		d.storeFaults.refusal.Store(0)
	}},
	{"refused on and off", func(s *site, ctx context.Context, rng *rand.Rand, duration time.Duration) {
		d := pick(rng, s.gateways)
		for end := time.Now().Add(2 * duration); time.Now().Before(end); {
			d.storeFaults.refusal.Store(http.StatusServiceUnavailable)
			sleep(ctx, time.Duration(rng.IntN(30))*time.Millisecond)
			d.storeFaults.refusal.Store(0)
			sleep(ctx, time.Duration(rng.IntN(30))*time.Millisecond)
		}
	}},
	{"history dropped", func(s *site, ctx context.Context, rng *rand.Rand, duration time.Duration) {
		for range 3 {
			s.store.Compact(fleet.TopicWork)
			s.store.Compact(fleet.TopicTexts)
			sleep(ctx, duration/3)
		}
	}},
	{"short of processor time", func(s *site, ctx context.Context, rng *rand.Rand, duration time.Duration) {
		s.starve(ctx, pick(rng, s.daemons()), rng, 2*duration)
	}},
	{"killed", func(s *site, ctx context.Context, rng *rand.Rand, duration time.Duration) {
		s.kill(ctx, pick(rng, s.daemons()), duration)
	}},
	{"all killed", func(s *site, ctx context.Context, rng *rand.Rand, duration time.Duration) {
		if rng.IntN(3) > 0 {
			return
		}
		var group sync.WaitGroup
		for _, d := range s.daemons() {
			group.Go(func() { s.kill(ctx, d, duration) })
		}
		group.Wait()
	}},
	{"store down or slow", func(s *site, ctx context.Context, rng *rand.Rand, duration time.Duration) {
		s.store.SetFaults(pick(rng, []fleetstore.Faults{{Down: true}, {Delay: 300 * time.Millisecond}, {Delay: time.Second}}))
		sleep(ctx, duration)
		s.store.SetFaults(fleetstore.Faults{})
	}},
	{"writes lost", func(s *site, ctx context.Context, rng *rand.Rand, duration time.Duration) {
		s.store.SetFaults(pick(rng, []fleetstore.Faults{
			{LoseAnswers: 4}, {LoseAppends: 4}, {LateAppends: 4, LateBy: 3 * time.Second},
		}))
		sleep(ctx, duration)
		s.store.SetFaults(fleetstore.Faults{})
	}},
}

// starve lets a process run for short times only.
func (s *site) starve(ctx context.Context, d *daemon, rng *rand.Rand, duration time.Duration) {
	if !d.tryClaim() {
		return
	}
	defer d.release()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		_ = d.process.Signal(syscall.SIGSTOP)
		sleep(ctx, time.Duration(200+rng.IntN(1300))*time.Millisecond)
		_ = d.process.Signal(syscall.SIGCONT)
		sleep(ctx, time.Duration(10+rng.IntN(100))*time.Millisecond)
	}
}

// TestAcceptedJobsAreNeverDenied reads jobs at all gateways while these know different parts
// of the log. A gateway that can't be sure must refuse: it must neither deny a job nor have
// nothing at a position that another gateway showed a second before.
func TestAcceptedJobsAreNeverDenied(t *testing.T) {
	s := newSite(t, binary, manyGateways)
	l := newRecorder()
	ctx, stop := context.WithTimeout(t.Context(), *readDuration)
	defer stop()
	var readers sync.WaitGroup
	counts := s.startJobReaders(ctx, &readers, l, readerParams{seed: *readSeed, submitters: 5, readers: 40, beyond: *readBeyond})
	names := regexp.MustCompile(*readFaults)
	selected := slices.DeleteFunc(slices.Clone(readerFaults), func(f fault) bool { return !names.MatchString(f.name) })
	rng := rand.New(rand.NewPCG(*readSeed, 1000))
	var faults sync.WaitGroup
	for ctx.Err() == nil {
		if len(selected) > 0 {
			s.begin(t.Context(), &faults, pick(rng, selected), rng)
		}
		sleep(ctx, time.Duration(200+rng.IntN(1200))*time.Millisecond)
	}
	faults.Wait()
	readers.Wait()
	s.checkProcesses(l)
	s.reportAnswers(l, counts)
}

// TestPositionWithoutResultIsNoUnknownJob reads an open job at every gateway from each position
// up to the number of its items. None of them may deny the job.
func TestPositionWithoutResultIsNoUnknownJob(t *testing.T) {
	s := newSite(t, binary, slowItems)
	l := newRecorder()
	r := s.newReader(l)
	r.submitJob(t.Context())
	assert.Equal(t, len(r.jobs.jobs), 1)
	sleep(t.Context(), settleBound+settleMargin)
	for _, d := range s.gateways {
		for after := range jobItems + 1 {
			r.readFrom(t.Context(), r.jobs.jobs[0], after, 0, d)
		}
	}
	s.reportAnswers(l, r.answers)
}

// lateStore is the time that the store's answers take to a gateway that reads the log late.
const lateStore = 800 * time.Millisecond

// readersDuration is the time for which readers ask for jobs.
const readersDuration = 12 * time.Second

// slowItems is the layout of sites whose jobs stay open for seconds.
var slowItems = layout{gateways: 3, modelTargets: 3, callTargets: 1, eventTime: 50 * time.Millisecond}

// TestLateGatewayHidesNoResult reads jobs at gateways one of which gets the store's answers
// late. Callers must find there what others have told them a second before, or be refused.
func TestLateGatewayHidesNoResult(t *testing.T) {
	s := newSite(t, binary, slowItems)
	s.gateways[0].storeFaults.setDelay(lateStore)
	l := newRecorder()
	ctx, stop := context.WithTimeout(t.Context(), readersDuration)
	defer stop()
	var group sync.WaitGroup
	counts := s.startJobReaders(ctx, &group, l, readerParams{seed: 37, submitters: 4, readers: 40})
	group.Wait()
	s.reportAnswers(l, counts)
}
