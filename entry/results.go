package entry

import (
	"context"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// resultGather is how long item results wait for others before they are
	// appended in one entry of the log. Nobody waits for a single item.
	resultGather = 250 * time.Millisecond
	// resultGroup is the number of results that are appended without waiting.
	resultGroup = 256
	// resultGroupBytes is the size of the bodies that are appended without
	// waiting, in bytes.
	resultGroupBytes = 1 << 20
)

// resultGatherer appends item results in groups, one record for each job.
type resultGatherer struct {
	e     *Entry
	queue chan *gatheredResult
}

type gatheredResult struct {
	job  string
	item protocol.ItemResult
	done chan error
}

func newResultGatherer(e *Entry) *resultGatherer {
	return &resultGatherer{e: e, queue: make(chan *gatheredResult, resultGroup)}
}

// store returns once the result is durable and folded.
func (g *resultGatherer) store(ctx context.Context, job string, item protocol.ItemResult) error {
	r := &gatheredResult{job: job, item: item, done: make(chan error, 1)}
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
func (g *resultGatherer) run(ctx context.Context) error {
	for {
		group := g.gather(ctx)
		if group == nil {
			return nil
		}
		g.e.tomb.Go(func() error {
			g.append(ctx, group)
			return nil
		})
	}
}

// gather returns the next group, nil once ctx has ended.
func (g *resultGatherer) gather(ctx context.Context) []*gatheredResult {
	var group []*gatheredResult
	var full <-chan time.Time
	size := 0
	for {
		select {
		case r := <-g.queue:
			group = append(group, r)
			size += len(r.item.Result.Body)
			if len(group) >= resultGroup || size >= resultGroupBytes {
				return group
			}
			if full == nil {
				timer := time.NewTimer(resultGather)
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

func (g *resultGatherer) append(ctx context.Context, group []*gatheredResult) {
	ctx, cancel := context.WithTimeout(ctx, protocol.DefaultRequestTimeout)
	defer cancel()
	err := g.e.appendAndFold(ctx, resultRecords(group)...)
	for _, r := range group {
		r.done <- err
	}
}

// resultRecords makes one record for each job.
func resultRecords(group []*gatheredResult) []protocol.Record {
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
