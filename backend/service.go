package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// PlainService is the client of one plain service.
type PlainService struct {
	base   string
	client *http.Client
	// singleUse never reuses a connection. net/http sends a request again when a
	// reused connection fails and the request has an Idempotency-Key header.
	singleUse *http.Client
}

// NewPlainService returns a client of the service at the URL base.
func NewPlainService(base string) *PlainService {
	dialer := net.Dialer{Timeout: targetDialTimeout}
	once := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	s := &PlainService{base: base, client: newTargetClient(), singleUse: &http.Client{Transport: once}}
	// A redirect would send the call again; it belongs to the caller.
	s.client.CheckRedirect = keepRedirect
	s.singleUse.CheckRedirect = keepRedirect
	return s
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// HeaderIdempotencyKey carries the request's key to the service.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxServiceAnswer bounds the answer of a plain service, in bytes.
const maxServiceAnswer = 16 << 20

// Close closes idle connections.
func (s *PlainService) Close() { s.client.CloseIdleConnections() }

// Do sends one call. A call that is not repeatable goes out on a connection of
// its own, exactly once. It fails with ErrNotSent where the service was not
// reached, and with ErrTargetFailed or ErrTruncated where the call may have run.
func (s *PlainService) Do(ctx context.Context, key string, call *protocol.Call, repeatable bool) (protocol.Result, error) {
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
	client := s.singleUse
	if repeatable {
		client = s.client
	}
	resp, err := client.Do(req)
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
	if len(body) > maxServiceAnswer {
		return result, protocol.ErrTargetFailed.New("service answer above %d bytes", maxServiceAnswer)
	}
	return protocol.Result{
		Outcome:     protocol.OutcomeCompleted,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
