package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

const (
	// jobPollInterval is the time between two reads of a job that is waited for.
	jobPollInterval = 500 * time.Millisecond
	// barWidth is the width of the bar itself, in columns.
	barWidth = 40
)

// progress shows how far a job is: a bar that takes its own place on a terminal,
// and a line for each change elsewhere.
type progress struct {
	w        io.Writer
	terminal bool
	lastText string
}

func newProgress(w io.Writer) *progress { return &progress{w: w, terminal: isTerminal(w)} }

func (p *progress) show(j *entry.JobResponse) {
	text := progressLine(j)
	if p.terminal {
		text = progressBar(j)
	}
	if text == p.lastText {
		return
	}
	p.lastText = text
	if p.terminal {
		_, _ = fmt.Fprintf(p.w, "\r%s", text)
		return
	}
	_, _ = fmt.Fprintln(p.w, text)
}

// printNote prints a line of its own.
func (p *progress) printNote(text string) {
	if text == p.lastText {
		return
	}
	p.endBarLine()
	p.lastText = text
	_, _ = fmt.Fprintln(p.w, text)
}

// endBarLine leaves the bar's line.
func (p *progress) endBarLine() {
	if p.terminal && strings.HasPrefix(p.lastText, "[") {
		_, _ = fmt.Fprintln(p.w)
	}
}

func progressLine(j *entry.JobResponse) string {
	return fmt.Sprintf("job=%s status=%s completed=%d failed=%d total=%d", j.ID, j.Status, j.Counts.Completed, j.Counts.Failed, j.Counts.Total)
}

// progressBar draws completed and failed items as "#" and "x". A part of an item's
// column shows only once it is whole, so that a full bar means the end.
func progressBar(j *entry.JobResponse) string {
	total := max(1, j.Counts.Total)
	done := min(barWidth, j.Counts.Completed*barWidth/total)
	failed := min(barWidth-done, j.Counts.Failed*barWidth/total)
	bar := strings.Repeat("#", done) + strings.Repeat("x", failed) + strings.Repeat(".", barWidth-done-failed)
	return fmt.Sprintf("[%s] %6d of %d, %d failed, %-9s", bar, j.Counts.Completed, j.Counts.Total, j.Counts.Failed, j.Status)
}

// followJob reads a job until it has ended. Failures that a later read can
// outlive are shown; the others end it.
func followJob(ctx context.Context, read func(context.Context, string) (entry.JobResponse, error), j entry.JobResponse, p *progress, interval time.Duration) (entry.JobResponse, error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer p.endBarLine()
	p.show(&j)
	for j.Status == string(state.JobRunning) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return j, protocol.ErrTimeout.New("stopped waiting; job %s goes on", j.ID)
		}
		next, err := read(ctx, j.ID)
		switch {
		case err == nil:
			j = next
			p.show(&j)
		case !isTransient(err):
			return j, err
		default:
			p.printNote("waiting: " + err.Error())
		}
	}
	return j, nil
}

// isTransient reports whether a later read of a job may succeed after err.
func isTransient(err error) bool {
	problem := protocol.ProblemOf(err)
	return problem.Status >= 500
}

// checkJobComplete returns an error where a job ended with items that have no answer.
func checkJobComplete(j entry.JobResponse) error {
	if j.Status == string(state.JobCompleted) && j.Counts.Failed == 0 {
		return nil
	}
	return errJobIncomplete.New("job %s is %s with %d of %d items completed and %d failed", j.ID, j.Status, j.Counts.Completed, j.Counts.Total, j.Counts.Failed)
}
