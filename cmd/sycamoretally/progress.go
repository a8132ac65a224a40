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
	// jobPollInterval is the time between two reads of the state of a job.
	jobPollInterval = 500 * time.Millisecond
	// barWidth is the width of the progress bar in columns, without the text after it.
	barWidth = 40
)

// progress shows the progress of a job: on a terminal as a bar that is redrawn in
// place, elsewhere as one line per change.
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

// printNote prints text on a separate line, unless it was the last text printed.
func (p *progress) printNote(text string) {
	if text == p.lastText {
		return
	}
	p.endBarLine()
	p.lastText = text
	_, _ = fmt.Fprintln(p.w, text)
}

// endBarLine ends the line of the bar, if one is shown.
func (p *progress) endBarLine() {
	if p.terminal && strings.HasPrefix(p.lastText, "[") {
		_, _ = fmt.Fprintln(p.w)
	}
}

func progressLine(j *entry.JobResponse) string {
	return fmt.Sprintf("job=%s status=%s completed=%d failed=%d total=%d", j.ID, j.Status, j.Counts.Completed, j.Counts.Failed, j.Counts.Total)
}

// progressBar draws completed and failed items as "#" and "x". Shares are rounded
// down to whole columns, so that the bar is full only when all items have ended.
func progressBar(j *entry.JobResponse) string {
	total := max(1, j.Counts.Total)
	done := min(barWidth, j.Counts.Completed*barWidth/total)
	failed := min(barWidth-done, j.Counts.Failed*barWidth/total)
	bar := strings.Repeat("#", done) + strings.Repeat("x", failed) + strings.Repeat(".", barWidth-done-failed)
	return fmt.Sprintf("[%s] %6d of %d, %d failed, %-9s", bar, j.Counts.Completed, j.Counts.Total, j.Counts.Failed, j.Status)
}

// followJob polls a job until it has ended. Transient failures are shown and
// retried; any other failure is returned.
func followJob(ctx context.Context, read func(context.Context, string) (entry.JobResponse, error), j entry.JobResponse, p *progress, interval time.Duration) (entry.JobResponse, error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer p.endBarLine()
	p.show(&j)
	for j.Status == string(state.JobRunning) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return j, protocol.ErrTimeout.New("stopped waiting; job %s continues", j.ID)
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

// isTransient reports whether reading a job may succeed later, after it failed with
// err.
func isTransient(err error) bool {
	problem := protocol.ProblemOf(err)
	return problem.Status >= 500
}

// checkJobComplete returns an error unless the job has completed without failed items.
func checkJobComplete(j entry.JobResponse) error {
	if j.Status == string(state.JobCompleted) && j.Counts.Failed == 0 {
		return nil
	}
	return errJobIncomplete.New("job %s is %s with %d of %d items completed and %d failed", j.ID, j.Status, j.Counts.Completed, j.Counts.Total, j.Counts.Failed)
}
