package entry

import (
	"context"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// resultGroupDelay is how long item results wait for others before they are
	// appended in one entry of the log. Nobody waits for a single item.
	resultGroupDelay = 250 * time.Millisecond
	// resultGroupSize is the number of results that are appended without waiting.
	resultGroupSize = 256
	// resultGroupBytes is the size of the bodies that are appended without
	// waiting, in bytes.
	resultGroupBytes = 1 << 20
)

// resultAppender appends item results in groups, one record for each job.
type resultAppender struct {
	e     *Entry
	queue chan *pendingResult
}

type pendingResult struct {
	job  string
	item protocol.ItemResult
	done chan error
}

func newResultAppender(e *Entry) *resultAppender {
	return &resultAppender{e: e, queue: make(chan *pendingResult, resultGroupSize)}
}

// store returns once the result is durable and folded.
func (g *resultAppender) store(ctx context.Context, job string, item protocol.ItemResult) error {
	r := &pendingResult{job: job, item: item, done: make(chan error, 1)}
	select {
	case g.queue <- r:
	case <-ctx.Done():
		return protocol.ErrBusy.New("too many results wait for the log")
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return protocol.ErrAnswerLost.New("the result is not yet durable")
	}
}

// run appends until ctx ends.
func (g *resultAppender) run(ctx context.Context) error {
	for {
		group := g.nextGroup(ctx)
		if group == nil {
			return nil
		}
		g.e.tomb.Go(func() error {
			g.append(ctx, group)
			return nil
		})
	}
}

// nextGroup returns the next group, nil once ctx has ended.
func (g *resultAppender) nextGroup(ctx context.Context) []*pendingResult {
	var group []*pendingResult
	var full <-chan time.Time
	size := 0
	for {
		select {
		case r := <-g.queue:
			group = append(group, r)
			size += len(r.item.Result.Body)
			if len(group) >= resultGroupSize || size >= resultGroupBytes {
				return group
			}
			if full == nil {
				timer := time.NewTimer(resultGroupDelay)
				defer timer.Stop()
				full = timer.C
			}
		case <-full:
			return group
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *resultAppender) append(ctx context.Context, group []*pendingResult) {
	ctx, cancel := context.WithTimeout(ctx, protocol.DefaultRequestTimeout)
	defer cancel()
	err := g.e.appendAndFold(ctx, resultRecords(group)...)
	for _, r := range group {
		r.done <- err
	}
}

// resultRecords makes one record for each job.
func resultRecords(group []*pendingResult) []protocol.Record {
	var records []protocol.Record
	at := map[string]int{}
	for _, r := range group {
		i, found := at[r.job]
		if !found {
			i = len(records)
			at[r.job] = i
			records = append(records, protocol.Record{ID: protocol.NewID(), Items: &protocol.ItemResults{Job: r.job}})
		}
		records[i].Items.Items = append(records[i].Items.Items, r.item)
	}
	return records
}
