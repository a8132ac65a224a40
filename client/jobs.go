package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Upload stores a batch file in JSON Lines and returns its ID.
func (c *Client) Upload(ctx context.Context, lines []byte) (string, error) {
	var a struct {
		ID string `json:"id"`
	}
	err := c.readJSON(ctx, request{
		method: http.MethodPost, path: "/v1/files", token: c.settings.CallerKey, body: lines, mimeType: "application/jsonl",
	}, &a)
	return a.ID, err
}

// Submit submits a job over an uploaded file. The same key, or the same file
// and window without one, names the same job.
func (c *Client) Submit(ctx context.Context, file, window, key string) (entry.JobResponse, error) {
	var j entry.JobResponse
	body, err := json.Marshal(entry.JobRequest{InputFileID: file, CompletionWindow: window})
	if err != nil {
		return j, protocol.ErrBadRequest.Wrap(err, "encode job")
	}
	err = c.readJSON(ctx, request{method: http.MethodPost, path: "/v1/batches", key: key, token: c.settings.CallerKey, body: body}, &j)
	return j, err
}

// Job reads a job's state.
func (c *Client) Job(ctx context.Context, id string) (entry.JobResponse, error) {
	var j entry.JobResponse
	err := c.readJSON(ctx, request{method: http.MethodGet, path: jobPath(id), token: c.settings.CallerKey}, &j)
	return j, err
}

// CancelJob cancels a job and returns its state.
func (c *Client) CancelJob(ctx context.Context, id string) (entry.JobResponse, error) {
	var j entry.JobResponse
	err := c.readJSON(ctx, request{method: http.MethodPost, path: jobPath(id) + "/cancel", token: c.settings.CallerKey}, &j)
	return j, err
}

// Results copies a job's results so far, in JSON Lines, to w.
func (c *Client) Results(ctx context.Context, id string, w io.Writer) error {
	resp, err := c.sendToEntries(ctx, request{method: http.MethodGet, path: jobPath(id) + "/results", token: c.settings.CallerKey})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(w, resp.Body); err != nil {
		return protocol.ErrTruncated.Wrap(err, "read results")
	}
	return nil
}

func jobPath(id string) string { return "/v1/batches/" + url.PathEscape(id) }
