package backend

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// WeightStore is the client of the rate-limited weight store.
type WeightStore struct {
	base   string
	client *http.Client
}

// NewWeightStore returns a client of the store at the URL base.
func NewWeightStore(base string) *WeightStore {
	return &WeightStore{base: base, client: &http.Client{}}
}

// Fetch reads the weights of a model version and returns their size in bytes.
// It fails with ErrBusy where the store limits the rate.
func (w *WeightStore) Fetch(ctx context.Context, model, version string) (int64, error) {
	u := w.base + "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return 0, protocol.ErrBadRequest.Wrap(err, "weights")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, classifyTargetError(err, "weights")
	}
	defer drainBody(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return 0, protocol.ErrBusy.New("weight store limits the rate")
	default:
		return 0, protocol.ErrTargetFailed.New("weights: status %d", resp.StatusCode)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return n, protocol.ErrTruncated.Wrap(err, "weights")
	}
	return n, nil
}
