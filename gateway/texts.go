package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/textcache"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// textCacheBytes bounds the cache of outputs. It holds some thousand of them.
	textCacheBytes = 16 << 20
	// textReadTimeout bounds the reading of outputs for one page of results. The page
	// holds the outputs that were read by then. oldTextReadTimeout bounds one read of
	// outputs that are older than the store's history. Such a read returns a megabyte at
	// once, which takes most of a second over the slowest links.
	textReadTimeout    = 800 * time.Millisecond
	oldTextReadTimeout = 2 * time.Second
)

// textReader reads the outputs of items on demand and caches them. It reads none ahead:
// if every gateway read all outputs when it starts, the load on the store would delay
// the reads of targets.
type textReader struct {
	store fleet.Store
	cache *textcache.Cache
	// expiredOffset is the highest offset that is known to be older than the store's
	// history.
	expiredOffset atomic.Int64
	// oldReadToken holds a token while no read of old outputs is in progress. It
	// serializes these reads, so that a waiting reader finds in the cache what the
	// previous one has read.
	oldReadToken chan struct{}
}

func newTextReader(s fleet.Store) *textReader {
	t := &textReader{store: s, cache: textcache.New(textCacheBytes), oldReadToken: make(chan struct{}, 1)}
	t.expiredOffset.Store(-1)
	t.oldReadToken <- struct{}{}
	return t
}

// get returns the output that ref refers to, from the cache or the store.
func (t *textReader) get(ctx context.Context, ref *worklog.TextRef) (string, error) {
	if text, found := t.cache.Get(ref.Key); found {
		return text, nil
	}
	if ref.Offset <= t.expiredOffset.Load() {
		return t.readOld(ctx, ref)
	}
	record, err := t.store.ReadOne(ctx, fleet.TopicTexts, ref.Offset, ref.Bytes)
	if errorx.IsOfType(err, fleet.ErrRecordsExpired) {
		t.expiredOffset.Store(max(ref.Offset, t.expiredOffset.Load()))
		return t.readOld(ctx, ref)
	}
	if err != nil {
		return "", err
	}
	text, ok := worklog.DecodeText(record.Value)
	if !ok || record.Key != ref.Key {
		return "", fleet.ErrStoreUnavailable.New("record at offset %d is not the expected text", ref.Offset)
	}
	t.cache.Put(ref.Key, text)
	return text, nil
}

// readOld returns an output that is older than the store's history, and that the store
// still holds as the newest record of its key. The outputs that the store returns with it
// are cached as well: they belong to the same job and to other jobs of that age. The read
// continues after the caller's context has ended, so that the next reader finds the
// outputs in the cache.
func (t *textReader) readOld(ctx context.Context, ref *worklog.TextRef) (string, error) {
	select {
	case <-t.oldReadToken:
	case <-ctx.Done():
		return "", fleet.ErrStoreUnavailable.Wrap(ctx.Err(), "waiting for another read of old texts")
	}
	defer func() { t.oldReadToken <- struct{}{} }()
	if text, found := t.cache.Get(ref.Key); found {
		return text, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), oldTextReadTimeout)
	defer cancel()
	page, err := t.store.NewestAfter(ctx, fleet.TopicTexts, fleet.KeyBefore(ref.Key))
	if err != nil {
		return "", err
	}
	records := page.Records
	for i := len(records) - 1; i >= 0; i-- {
		if text, ok := worklog.DecodeText(records[i].Value); ok {
			t.cache.Put(records[i].Key, text)
		}
	}
	if len(records) > 0 && records[0].Key == ref.Key {
		text, _ := worklog.DecodeText(records[0].Value)
		return text, nil
	}
	return "", fleet.ErrStoreUnavailable.New("no text with key %s", ref.Key)
}

// resolve returns the results with their outputs, up to the first output that cannot be
// read within textReadTimeout. It also returns the error of that read.
func (t *textReader) resolve(ctx context.Context, job string, results []worklog.Result) ([]fleet.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, textReadTimeout)
	defer cancel()
	var whole []fleet.Result
	for _, r := range results {
		text := ""
		if r.Text != nil {
			var err error
			if text, err = t.get(ctx, r.Text); err != nil {
				klog.InfoS("output not read", "job", job, "item", r.Item, "offset", r.Text.Offset, "error", protocol.CauseOf(err))
				return whole, err
			}
		}
		whole = append(whole, fleet.Result{Item: r.Item, State: r.State, Text: text})
	}
	return whole, nil
}
