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
	// maxTextBytes bounds the outputs that a gateway keeps to read them again: some
	// thousand of them.
	maxTextBytes = 16 << 20
	// textTime bounds the reading of outputs for one page of results; what has come
	// by then makes the page. oldTextTime bounds a read of outputs that are older than
	// the store's history, of which a megabyte comes at once: most of a second over
	// the slowest links.
	textTime    = 800 * time.Millisecond
	oldTextTime = 2 * time.Second
)

// texts reads the outputs of items where callers ask for them. A gateway that
// starts reads none, however many there are: with all the others it would keep
// the store from telling it of targets.
type texts struct {
	store fleet.Store
	cache *textcache.Cache
	// expired is the last offset that is known to be older than the store's history.
	expired atomic.Int64
	// turn holds a token while no old outputs are read, so that those who wait for
	// them find in the cache what the first has read.
	turn chan struct{}
}

func newTexts(s fleet.Store) *texts {
	t := &texts{store: s, cache: textcache.New(maxTextBytes), turn: make(chan struct{}, 1)}
	t.expired.Store(-1)
	t.turn <- struct{}{}
	return t
}

// get returns the output that the reference names.
func (t *texts) get(ctx context.Context, ref *worklog.TextRef) (string, error) {
	if text, found := t.cache.Get(ref.Key); found {
		return text, nil
	}
	if ref.Offset <= t.expired.Load() {
		return t.old(ctx, ref)
	}
	record, err := t.store.ReadOne(ctx, fleet.TopicTexts, ref.Offset, ref.Bytes)
	if errorx.IsOfType(err, fleet.ErrExpired) {
		t.expired.Store(max(ref.Offset, t.expired.Load()))
		return t.old(ctx, ref)
	}
	if err != nil {
		return "", err
	}
	text, ok := worklog.DecodeText(record.Value)
	if !ok || record.Key != ref.Key {
		return "", fleet.ErrUnavailable.New("no text at offset %d", ref.Offset)
	}
	t.cache.Put(ref.Key, text)
	return text, nil
}

// old returns an output that is only among the newest records of their keys. What
// comes with it is kept: it belongs to the same job and to others as old. The read
// goes on where its page has run out of time, for the next that asks.
func (t *texts) old(ctx context.Context, ref *worklog.TextRef) (string, error) {
	select {
	case <-t.turn:
	case <-ctx.Done():
		return "", fleet.ErrUnavailable.Wrap(ctx.Err(), "other old texts are read")
	}
	defer func() { t.turn <- struct{}{} }()
	if text, found := t.cache.Get(ref.Key); found {
		return text, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), oldTextTime)
	defer cancel()
	records, err := t.store.NewestAfter(ctx, fleet.TopicTexts, before(ref.Key))
	if err != nil {
		return "", err
	}
	for i := len(records) - 1; i >= 0; i-- {
		if text, ok := worklog.DecodeText(records[i].Value); ok {
			t.cache.Put(records[i].Key, text)
		}
	}
	if len(records) > 0 && records[0].Key == ref.Key {
		text, _ := worklog.DecodeText(records[0].Value)
		return text, nil
	}
	return "", fleet.ErrUnavailable.New("no text with key %s", ref.Key)
}

// before returns a key that the given one follows, with none of the system's
// between them.
func before(key string) string {
	last := len(key) - 1
	return key[:last] + string(rune(key[last]-1)) + "~"
}

// resolve returns the results with their outputs, up to the first whose output
// does not come in time. It fails where not even one does.
func (t *texts) resolve(ctx context.Context, job string, results []worklog.Result) ([]fleet.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, textTime)
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
