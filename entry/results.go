package entry

import (
	"context"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// resultGroupDelay is how long an item result waits for others to be
	// appended in the same log entry. No caller waits for the result of a single
	// item.
	resultGroupDelay = 250 * time.Millisecond
	// resultGroupSize is the number of results at which a group is appended
	// without further delay.
	resultGroupSize = 256
	// resultGroupBytes is the total size of result bodies, in bytes, at which a
	// group is appended without further delay.
	resultGroupBytes = 1 << 20
)

// resultAppender appends item results in groups, with one record per job.
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

// store appends a result and returns once it is durable and folded.
func (g *resultAppender) store(ctx context.Context, job string, item protocol.ItemResult) error {
	r := &pendingResult{job: job, item: item, done: make(chan error, 1)}
	select {
	case g.queue <- r:
	case <-ctx.Done():
		return protocol.ErrBusy.New("too many results are waiting to be appended")
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return protocol.ErrAnswerLost.New("the result is not yet durable")
	}
}

// run appends groups of results until ctx ends.
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

// nextGroup collects the next group of results. It returns nil once ctx has
// ended.
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

// resultRecords returns one record per job.
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
