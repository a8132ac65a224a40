package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// PlainService is the client of one plain service.
type PlainService struct {
	base   string
	client *http.Client
}

// NewPlainService returns a client of the service at the URL base.
func NewPlainService(base string) *PlainService {
	s := &PlainService{base: base, client: newTargetClient()}
	// Following a redirect would send the call again. The caller gets the redirect.
	s.client.CheckRedirect = keepRedirect
	return s
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// HeaderIdempotencyKey is the header that carries the request's key to the service.
const HeaderIdempotencyKey = "Idempotency-Key"

const (
	// recordBytes bounds what the record of an answer holds beside its body: the key, which is
	// part of the head of a call, the content type, which is part of that of the answer, and IDs.
	recordBytes = 2 * http.DefaultMaxHeaderBytes
	// maxServiceAnswer is the size limit of a plain service's answer in bytes, so that its record
	// fits into an entry of the log.
	maxServiceAnswer = protocol.MaxEntryBytes - recordBytes
)

// maxStatus is the highest status that an answer may have.
const maxStatus = 599

// Do sends one call once, on a connection of its own. Do fails with ErrNotSent if the
// service was not reached, and with ErrTargetFailed or ErrTruncated if the call may have run.
func (s *PlainService) Do(ctx context.Context, key string, call *protocol.Call) (protocol.Result, error) {
	var result protocol.Result
	ctx, connected := TraceConnection(ctx)
	req, err := http.NewRequestWithContext(ctx, call.Method, s.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return result, protocol.ErrBadRequest.Wrap(err, "service call")
	}
	req.Header.Set(HeaderIdempotencyKey, key)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	resp, err := s.client.Do(req)
	if err != nil && connected() {
		return result, protocol.ErrTargetFailed.Wrap(err, "service call")
	}
	if err != nil {
		return result, classifyTargetError(err, "service call")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswer+1))
	if err != nil {
		return result, protocol.ErrTruncated.Wrap(err, "service answer")
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return result, protocol.ErrTargetFailed.New("service answered with status %03d", resp.StatusCode)
	}
	if len(body) > maxServiceAnswer {
		return result, protocol.ErrTargetFailed.New("service answer exceeds the limit of %d bytes", maxServiceAnswer)
	}
	return protocol.Result{
		Outcome:     protocol.OutcomeCompleted,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
