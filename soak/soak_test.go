package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/processtest"
)

var (
	firstSeed   = flag.Uint64("first", 1, "the first seed")
	seeds       = flag.Int("seeds", 2, "the number of seeds")
	otherBinary = flag.String("binary", "", "a program to test in place of the one that is built")
	keepLogs    = flag.String("logs", "", "the directory for the logs of the processes of failed seeds")
)

// failedSeeds are the seeds that have failed before, with the cause.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{528, "SIGTERM ended a batcher that did not handle signals yet"},
	{535, "SIGHUP ended a gateway that did not handle signals yet, and the soak test did not start it again"},
	{7033, "streams were moved away from the only known target and failed"},
}

const (
	// faultDuration is the time in which faults begin. plannedDuration is the time with
	// planned work only, after all faults have ended and stableWindow has passed.
	faultDuration   = 9 * time.Second
	plannedDuration = 7 * time.Second
	// longestFault is the longest duration of a fault.
	longestFault = 3 * time.Second
	// maxSites is the number of sites that may run concurrently.
	maxSites = 3
)

var siteSlots = make(chan struct{}, maxSites)

// binary is the program under test, built once for all seeds.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	if *otherBinary != "" {
		binary = *otherBinary
		os.Exit(m.Run())
	}
	os.Exit(processtest.Main(&binary, m.Run))
}

// TestSoak runs the seeds.
func TestSoak(t *testing.T) {
	list := map[uint64]string{}
	for _, failed := range failedSeeds {
		list[failed.seed] = failed.cause
	}
	for i := range uint64(*seeds) {
		list[*firstSeed+i] = "fresh"
	}
	for seed, why := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			siteSlots <- struct{}{}
			defer func() { <-siteSlots }()
			t.Logf("seed %d: %s", seed, why)
			runSeed(t, seed)
		})
	}
}

// runSeed injects faults into a site as the seed determines while callers use it,
// goes on for a while with planned work only, and checks what callers and targets
// observed.
func runSeed(t *testing.T, seed uint64) {
	s := newSite(t, binary, smallLayout)
	t.Cleanup(func() { s.writeFailureReport(seed) })
	l := newRecorder()
	ctx, stopCallers := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range onlineCallers {
		s.startCaller(ctx, &callers, l, fmt.Sprint("c", i), rand.New(rand.NewPCG(seed, uint64(i))), callPause, (*caller).callOnline)
	}
	for i := range jobCallers {
		s.startCaller(ctx, &callers, l, fmt.Sprint("j", i), rand.New(rand.NewPCG(seed, uint64(100+i))), jobPause, (*caller).runJob)
	}
	rng := rand.New(rand.NewPCG(seed, 1000))
	s.disturb(t.Context(), rng)
	stopCallers()
	callers.Wait()
	s.checkProcesses(l)
	s.checkRecovery(t.Context(), l)
	s.checkAll(l)
	s.reportProblems(l, seed)
	for _, d := range s.daemons() {
		s.stopDaemon(t.Context(), d)
	}
}

// startCaller starts a caller that makes calls with random pauses until ctx ends.
func (s *site) startCaller(ctx context.Context, group *sync.WaitGroup, l *recorder, name string, rng *rand.Rand, pause time.Duration, call func(*caller, context.Context)) {
	c := newCaller(s, l, name, rng)
	group.Go(func() {
		for ctx.Err() == nil {
			// A call that has begun is completed after ctx has ended.
			call(c, context.WithoutCancel(ctx))
			sleep(ctx, time.Duration(rng.Int64N(int64(pause))))
		}
	})
}

// disturb injects faults together with planned work, and then planned work only.
func (s *site) disturb(ctx context.Context, rng *rand.Rand) {
	faulty, end := context.WithTimeout(ctx, faultDuration)
	defer end()
	var group sync.WaitGroup
	for faulty.Err() == nil {
		s.begin(ctx, &group, pick(rng, faultKinds), rng)
		if rng.IntN(2) == 0 {
			s.begin(ctx, &group, pick(rng, plannedWork), rng)
		}
		sleep(faulty, time.Duration(200+rng.IntN(1000))*time.Millisecond)
	}
	group.Wait()
	sleep(ctx, stableWindow)
	planned, endPlanned := context.WithTimeout(ctx, plannedDuration)
	defer endPlanned()
	for planned.Err() == nil {
		s.begin(ctx, &group, pick(rng, plannedWork), rng)
		sleep(planned, time.Duration(300+rng.IntN(900))*time.Millisecond)
	}
	group.Wait()
}

// begin starts one fault or piece of planned work of random duration.
func (s *site) begin(ctx context.Context, group *sync.WaitGroup, one fault, rng *rand.Rand) {
	duration := time.Duration(300+rng.Int64N(longestFault.Milliseconds()-300)) * time.Millisecond
	own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	group.Go(func() { one.inject(s, ctx, own, duration) })
}

// reportProblems logs a summary and fails the test with the first 20 violations.
func (s *site) reportProblems(l *recorder, seed uint64) {
	count := map[outcome]int{}
	for _, one := range l.sent {
		count[one.outcome]++
	}
	s.t.Logf("seed %d: %d answered, %d failed, %d refused, %d broken, %d jobs, %d runs", seed, count[answered], count[failed],
		count[refused], count[broken], len(l.jobs), len(s.journal.Runs()))
	assert.Check(s.t, count[answered] > 0)
	for _, problem := range l.problems[:min(len(l.problems), 20)] {
		s.t.Errorf("%s", problem)
	}
}

// writeFailureReport logs the faults of a failed seed, and writes the logs of the
// processes to the directory of the flag -logs.
func (s *site) writeFailureReport(seed uint64) {
	if !s.t.Failed() {
		return
	}
	s.t.Logf("faults:\n%s", s.faultLog)
	if *keepLogs == "" {
		return
	}
	for _, d := range s.daemons() {
		assert.Check(s.t, keepLog(*keepLogs, seed, d.name, d.process.Log()))
	}
}

// keepLog writes the log of a process of a failed seed to the directory, which need not exist.
func keepLog(dir string, seed uint64, process, log string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d-%s.log", seed, process)), []byte(log), 0o600)
}

// TestFailedSeedKeepsItsLogs guards against logs that are lost since the directory for them does not
// exist: the one failure of seed 300 could not be traced.
func TestFailedSeedKeepsItsLogs(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "logs", "of-this-run")
	assert.NilError(t, keepLog(dir, 300, "g1", "event=started"))
	assert.NilError(t, keepLog(dir, 300, "g2", "event=started"))
	kept, err := os.ReadFile(filepath.Join(dir, "300-g1.log"))
	assert.NilError(t, err)
	assert.Equal(t, string(kept), "event=started")
}
