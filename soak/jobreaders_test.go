package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

const (
	// settleBound is the time after which every gateway knows what another one has told a
	// caller.
	settleBound = time.Second
	// settleMargin is what readers add to settleBound.
	settleMargin = 20 * time.Millisecond
	// resendWindow is how long after its first 202 a job may be submitted again.
	resendWindow = 5 * time.Second
	// readPause is the longest pause of a reader between two calls.
	readPause = 60 * time.Millisecond
	// readWait is how long some reads may wait for the next result.
	readWait = time.Second
	// endedSuffix is the last character of the IDs of jobs that readers end.
	endedSuffix = "3"
	// reportedViolations is the number of violations of each kind that are printed.
	reportedViolations = 4
)

// watchedJobs holds the jobs that readers ask for, with what gateways have said of them.
type watchedJobs struct {
	mu   sync.Mutex
	jobs []*watchedJob
}

// watchedJob is an accepted job. mu of watchedJobs guards it.
type watchedJob struct {
	*job
	acceptedAt time.Time
	// results are those read so far, readAt the times at which each was first read.
	results []result
	readAt  []time.Time
}

// answerCount counts the answers that readers got.
type answerCount struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *answerCount) add(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// recordDenial records a violation, and counts it by its kind.
func (r *reader) recordDenial(kind, format string, args ...any) {
	r.answers.add("VIOLATED " + kind)
	r.recorder.recordViolation(kind+": "+format, args...)
}

// reader asks random gateways for random jobs.
type reader struct {
	*caller
	jobs    *watchedJobs
	answers *answerCount
	beyond  bool
}

// readerParams sets the callers of startJobReaders.
type readerParams struct {
	seed       uint64
	submitters int
	readers    int
	// beyond is set if readers also ask for positions after the last result that any
	// gateway has shown.
	beyond bool
}

// startJobReaders starts callers that submit jobs and others that read them, until ctx ends.
func (s *site) startJobReaders(ctx context.Context, group *sync.WaitGroup, l *recorder, p readerParams) *answerCount {
	shared, counts := &watchedJobs{}, &answerCount{counts: map[string]int{}}
	start := func(name string, stream uint64, pause time.Duration, call func(*reader, context.Context)) {
		rng := rand.New(rand.NewPCG(p.seed, stream))
		r := &reader{caller: newCaller(s, l, name, rng), jobs: shared, answers: counts, beyond: p.beyond}
		group.Go(func() {
			for ctx.Err() == nil {
				call(r, context.WithoutCancel(ctx))
				sleep(ctx, time.Duration(rng.Int64N(int64(pause))))
			}
		})
	}
	for i := range p.submitters {
		start(fmt.Sprint("s", i), uint64(200+i), jobPause, (*reader).submitJob)
	}
	for i := range p.readers {
		start(fmt.Sprint("r", i), uint64(300+i), readPause, (*reader).askForJob)
	}
	return counts
}

// newReader returns a reader that shares no jobs with others.
func (s *site) newReader(l *recorder) *reader {
	return &reader{caller: newCaller(s, l, "c", rand.New(rand.NewPCG(1, 1))), jobs: &watchedJobs{}, answers: &answerCount{counts: map[string]int{}}}
}

// submitJob submits a job until a gateway accepts it.
func (r *reader) submitJob(ctx context.Context) {
	j := r.newJob()
	for range submitAttempts {
		s, _ := r.send(ctx, http.MethodPost, "/j.30/"+j.id, j.id, jobKind, "", j.body())
		if s.outcome == answered {
			r.jobs.mu.Lock()
			r.jobs.jobs = append(r.jobs.jobs, &watchedJob{job: j, acceptedAt: s.end})
			r.jobs.mu.Unlock()
			return
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// askForJob makes one call about a random job, most often one of the newest.
func (r *reader) askForJob(ctx context.Context) {
	r.jobs.mu.Lock()
	jobs := r.jobs.jobs
	r.jobs.mu.Unlock()
	if len(jobs) == 0 {
		return
	}
	j := jobs[len(jobs)-1-r.rng.IntN(min(len(jobs), 1+r.rng.IntN(len(jobs))))]
	switch draw := r.rng.IntN(20); {
	case draw < 12:
		r.readResults(ctx, j, false)
	case draw < 14:
		r.readResults(ctx, j, r.beyond)
	case draw < 17:
		r.readBody(ctx, j)
	case draw < 19:
		r.submitAgain(ctx, j)
	default:
		r.end(ctx, j)
	}
}

// known returns the number of results that a gateway has shown by the time, and all that
// were ever shown.
func (j *watchedJob) known(jobs *watchedJobs, by time.Time) (settled, all int) {
	jobs.mu.Lock()
	defer jobs.mu.Unlock()
	for _, at := range j.readAt {
		if at.Before(by) {
			settled++
		}
	}
	return settled, len(j.results)
}

// readResults reads the job's results at a random gateway from a position up to the last
// known one, or, if beyond is set, from a later one. It then asks all gateways for the last
// result that was new, once all of them must have it.
func (r *reader) readResults(ctx context.Context, j *watchedJob, beyond bool) {
	_, all := j.known(r.jobs, time.Now())
	after := r.rng.IntN(all + 1)
	if beyond {
		after = all + r.rng.IntN(len(j.items)-all+1)
	}
	var wait time.Duration
	if r.rng.IntN(2) == 0 {
		wait = readWait
	}
	newest := r.readFrom(ctx, j, after, wait, pick(r.rng, r.site.gateways))
	if newest < 0 {
		return
	}
	sleep(ctx, settleBound+settleMargin)
	for _, d := range r.site.gateways {
		r.readFrom(ctx, j, newest, 0, d)
	}
}

// readFrom reads the job's results from the position. It returns the position of the last
// result that no caller had read before, or -1.
func (r *reader) readFrom(ctx context.Context, j *watchedJob, after int, wait time.Duration, d *daemon) int {
	begun := time.Now()
	settled, all := j.known(r.jobs, begun.Add(-settleBound))
	status, text := r.askAt(ctx, d, http.MethodGet, fmt.Sprint("/lots/", j.id, "?after=", after), wait)
	what := fmt.Sprintf("read from position %d of %s, of which %d of %d were shown by then, at %s, sent at %s, answered after %v",
		after, j.id, settled, all, d.name, formatTime(begun), time.Since(begun))
	kind := "a known position"
	if after > all {
		kind = "a position after the last result"
	}
	if r.isDenial(j, status, begun, kind, what) || status != http.StatusOK {
		return -1
	}
	var page struct {
		Total   int      `json:"total"`
		Next    int      `json:"next"`
		Results []result `json:"results"`
	}
	if json.Unmarshal([]byte(text), &page) != nil || page.Total != len(j.items) || page.Next != after+len(page.Results) {
		r.recorder.recordViolation("%s: page %.80q", what, text)
		return -1
	}
	if len(page.Results) == 0 && after < settled {
		r.recordDenial("nothing at a known position", "%s", what)
	}
	return r.keep(j, after, page.Results, what)
}

// keep compares results with those read before, and keeps new ones. It returns the position
// of the last new one, or -1.
func (r *reader) keep(j *watchedJob, after int, results []result, what string) int {
	newest := -1
	r.jobs.mu.Lock()
	defer r.jobs.mu.Unlock()
	for i, one := range results {
		switch at := after + i; {
		case at < len(j.results) && j.results[at] != one:
			r.recordDenial("another result", "%s: position %d has %s and had %s", what, at, one.ID, j.results[at].ID)
		case at == len(j.results):
			j.results = append(j.results, one)
			j.readAt = append(j.readAt, time.Now())
			newest = at
		}
	}
	return newest
}

// readBody reads the body of a random item.
func (r *reader) readBody(ctx context.Context, j *watchedJob) {
	begun := time.Now()
	item := pick(r.rng, j.items)
	status, text, d := r.ask(ctx, http.MethodGet, "/items/"+j.id+"?id="+item)
	what := fmt.Sprintf("body of %s at %s, sent at %s", item, d.name, formatTime(begun))
	if !r.isDenial(j, status, begun, "a body", what) && status == http.StatusOK && text != "body of "+item {
		r.recorder.recordViolation("%s: %.80q", what, text)
	}
}

// submitAgain submits a job that was accepted a moment ago.
func (r *reader) submitAgain(ctx context.Context, j *watchedJob) {
	begun := time.Now()
	if begun.Sub(j.acceptedAt) > resendWindow {
		return
	}
	s, _ := r.send(ctx, http.MethodPost, "/j.30/"+j.id, j.id, jobKind, "", j.body())
	if s.status >= 400 && s.status < 500 && begun.Sub(j.acceptedAt) > settleBound {
		r.recordDenial("a job that comes again", "%s, accepted %v ago, submitted again at %s, got %d", j.id, begun.Sub(j.acceptedAt), s.gateway, s.status)
	}
}

// end ends a job, or asks for its end again. It spares most jobs, so that they get results.
func (r *reader) end(ctx context.Context, j *watchedJob) {
	if !strings.HasSuffix(j.id, endedSuffix) {
		return
	}
	begun := time.Now()
	status, _, d := r.ask(ctx, http.MethodDelete, "/lots/"+j.id)
	r.isDenial(j, status, begun, "an end", fmt.Sprintf("end of %s at %s, sent at %s", j.id, d.name, formatTime(begun)))
}

// isDenial counts the answer and reports whether it denies a job that every gateway must know.
func (r *reader) isDenial(j *watchedJob, status int, sent time.Time, kind, what string) bool {
	if status != 0 { // askAt has counted calls without an answer
		r.answers.add(fmt.Sprint("status ", status))
	}
	if status != http.StatusNotFound && status != http.StatusGone || sent.Sub(j.acceptedAt) < settleBound {
		return false
	}
	r.recordDenial("404 for "+kind, "%s, %v after the job was accepted: status %d", what, sent.Sub(j.acceptedAt), status)
	return true
}

// ask sends one call to a random gateway over a new connection. It returns status 0 if there
// was no answer.
func (r *reader) ask(ctx context.Context, method, path string) (int, string, *daemon) {
	d := pick(r.rng, r.site.gateways)
	status, text := r.askAt(ctx, d, method, path, 0)
	return status, text, d
}

// askAt is ask at the given gateway.
func (r *reader) askAt(ctx context.Context, d *daemon, method, path string, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := r.request(ctx, method, path, "", d, nil)
	request.Header.Del(platformtest.HeaderRequestID)
	request.Close = true
	if wait > 0 {
		request.Header.Set(platformtest.HeaderWait, fmt.Sprint(wait.Milliseconds()))
	}
	resp, err := r.client.Do(request)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		var text []byte
		if text, err = io.ReadAll(resp.Body); err == nil {
			return resp.StatusCode, string(text)
		}
	}
	why := "no answer"
	if ctx.Err() != nil {
		why = fmt.Sprint("no answer within ", callTimeout)
	}
	r.answers.add(why)
	return 0, ""
}

// reportAnswers logs what readers got and fails the test with the first violations of each
// kind.
func (s *site) reportAnswers(l *recorder, c *answerCount) {
	s.t.Logf("answers: %v", c.counts)
	shown := map[string]int{}
	for _, problem := range l.problems {
		_, text, _ := strings.Cut(problem, " ")
		kind, _, _ := strings.Cut(text, ":")
		if shown[kind]++; shown[kind] <= reportedViolations {
			s.t.Errorf("%s", problem)
		}
	}
}
