package topic

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// pagePauseFactor is the pause after a page of newest records as a multiple of the time
	// that the page took. When hundreds of processes start at the same moment and ask for
	// pages without a pause, all of them queue at the store at any time, and the short reads
	// that tell of targets and configurations time out behind them.
	pagePauseFactor = 10
	// maxShortPause bounds the pause after a page that took less than a short read may last:
	// behind such pages short reads still get their answers in time.
	maxShortPause = 500 * time.Millisecond
	// maxPauses bounds the sum of the pauses of one read: on a slow instance a page takes
	// long for other reasons than a busy store.
	maxPauses = 4 * time.Second
)

// newestRead is the reading of a topic's newest records. It goes on after a failed page
// where it stopped.
type newestRead struct {
	records []fleet.Record
	// after is the last key read. next is the end of the topic at the first page, or -1
	// before it: later pages may hold newer records, which are read from there.
	after string
	next  int64
	// begun is when the read of the first page began, in time after the follower's base.
	begun time.Duration
	// paused is the sum of the pauses so far.
	paused time.Duration
}

// read reads the rest of the pages.
func (n *newestRead) read(ctx context.Context, store fleet.Store, t fleet.Topic) error {
	for {
		begun := time.Now()
		page, err := store.NewestAfter(ctx, t, n.after)
		if err != nil {
			return err
		}
		n.add(page)
		if !page.More || len(page.Records) == 0 {
			return nil
		}
		wait := min(pauseAfterPage(time.Since(begun)), maxPauses-n.paused)
		n.paused += wait
		pause.For(ctx, wait)
	}
}

// pauseAfterPage returns the pause after a page that took the given time.
func pauseAfterPage(took time.Duration) time.Duration {
	if took < readTimeout {
		return min(pagePauseFactor*took, maxShortPause)
	}
	return pagePauseFactor * took
}

func (n *newestRead) add(page fleet.NewestPage) {
	if n.next < 0 {
		n.next = page.End
	}
	for _, r := range page.Records {
		n.after = r.Key
		if r.Offset < n.next {
			n.records = append(n.records, r)
		}
	}
}

// inOrder returns the records in the order of their offsets.
func (n *newestRead) inOrder() []fleet.Record {
	slices.SortFunc(n.records, func(a, b fleet.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return n.records
}
