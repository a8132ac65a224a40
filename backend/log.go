package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// PageLimit is the maximum number of entries that one read returns.
const PageLimit = 512

// LogEntry is one entry of a stream.
type LogEntry struct {
	Offset uint64 `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// LogPage is a range of consecutive entries.
type LogPage struct {
	Entries []LogEntry `msgpack:"e"`
	// First is the oldest offset still retained.
	First uint64 `msgpack:"f"`
	// Next is the offset of the next entry to be appended.
	Next uint64 `msgpack:"n"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends an entry and returns its offset. It fails with ErrLogUnavailable
	// if the entry was not appended, with ErrTooLarge if it never can be, and with
	// ErrAnswerLost if that is not known.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit entries from an offset on, waiting up to wait for the
	// first one. From zero it reads from the oldest entry. It fails with
	// ErrOffsetExpired if from is no longer retained.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (LogPage, error)
}

// HTTPLog is the client of a log service over HTTP.
type HTTPLog struct {
	base   string
	client *http.Client
}

// NewHTTPLog returns a client of the log service at the URL base.
func NewHTTPLog(base string) *HTTPLog {
	return &HTTPLog{base: base, client: &http.Client{}}
}

// AppendResponse is the log service's response to an append.
type AppendResponse struct {
	Offset uint64 `msgpack:"o"`
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.streamURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, protocol.ErrBadRequest.Wrap(err, "append to %s", stream)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, classifyAppendError(err, "append to %s", stream)
	}
	defer drainBody(resp.Body)
	if resp.StatusCode == http.StatusRequestEntityTooLarge {
		return 0, protocol.ErrTooLarge.New("append to %s: entry of %d bytes", stream, len(data))
	}
	if resp.StatusCode != http.StatusOK {
		return 0, protocol.ErrLogUnavailable.New("append to %s: status %d", stream, resp.StatusCode)
	}
	var answer AppendResponse
	if err := msgpack.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return 0, protocol.ErrAnswerLost.Wrap(err, "append to %s", stream)
	}
	return answer.Offset, nil
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (LogPage, error) {
	var page LogPage
	u := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", l.streamURL(stream), from, limit, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return page, protocol.ErrBadRequest.Wrap(err, "read %s", stream)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return page, protocol.ErrLogUnavailable.Wrap(err, "read %s", stream)
	}
	defer drainBody(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return page, protocol.ErrOffsetExpired.New("read %s: offset %d is no longer retained", stream, from)
	default:
		return page, protocol.ErrLogUnavailable.New("read %s: status %d", stream, resp.StatusCode)
	}
	if err := msgpack.NewDecoder(resp.Body).Decode(&page); err != nil {
		return page, protocol.ErrLogUnavailable.Wrap(err, "read %s", stream)
	}
	return page, nil
}

func (l *HTTPLog) streamURL(stream string) string {
	return l.base + "/streams/" + url.PathEscape(stream)
}

// drainBody reads the rest of the body, up to 64 KiB, so that the connection can be
// reused, and closes it.
func drainBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 64<<10))
	_ = body.Close()
}
