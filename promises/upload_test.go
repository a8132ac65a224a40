package promises

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"mime/multipart"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// TestUploadsOfSameContent uploads one file through all entries concurrently, after
// an upload that was aborted and one with a malformed line: all must get one ID.
func TestUploadsOfSameContent(t *testing.T) {
	t.Parallel()
	const seed = 1
	t.Logf("seed %d", seed)
	site, c := startInProcess(t, demo.DefaultLayout())
	job := &testJob{name: "upload", items: 1300, tokens: 1}
	file := job.file(t)
	_, err := c.Upload(t.Context(), append(bytes.Clone(file), "not JSON\n"...))
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrBadRequest), "%v", err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	aborted, err := http.NewRequestWithContext(ctx, http.MethodPost, site.Client.Entries[0]+"/v1/files", io.MultiReader(bytes.NewReader(file[:len(file)/2]), blockedReader{ctx}))
	assert.NilError(t, err)
	aborted.Header.Set("Authorization", "Bearer "+site.Client.CallerKey)
	resp, err := http.DefaultClient.Do(aborted)
	if err == nil {
		_ = resp.Body.Close()
	}
	assert.Assert(t, err != nil, "the aborted upload was accepted")
	ids := make([]string, 2*len(site.Client.Entries))
	var group sync.WaitGroup
	for i := range ids {
		other := clientOf(t, site.Client, i%len(site.Client.Entries))
		group.Go(func() {
			var err error
			ids[i], err = other.Upload(t.Context(), file)
			assert.Check(t, err)
		})
	}
	group.Wait()
	ids = append(ids, uploadForm(t, site.Client, file))
	for _, id := range ids {
		assert.Equal(t, id, ids[0])
	}
	callers := newJobCallers(t, site.Client, "upload", file)
	a := callers.submit(t, rand.New(rand.NewPCG(seed, 0)))
	callers.awaitFinal(t, a.ID)
	callers.checkResultsAtAllEntries(t, a.ID, job, true)
	callers.check(t)
}

// uploadForm uploads a file as a part of a multipart form and returns its ID.
func uploadForm(t *testing.T, s settings.Client, file []byte) string {
	t.Helper()
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	assert.NilError(t, form.WriteField("purpose", "batch"))
	part, err := form.CreateFormFile("file", "job.jsonl")
	assert.NilError(t, err)
	_, err = part.Write(file)
	assert.NilError(t, err)
	assert.NilError(t, form.Close())
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.Entries[0]+"/v1/files", &body)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+s.CallerKey)
	req.Header.Set("Content-Type", form.FormDataContentType())
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		ID string `json:"id"`
	}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
	return answer.ID
}

// blockedReader is a reader that blocks until its context ends and then fails.
type blockedReader struct{ ctx context.Context }

// Read implements io.Reader.
func (r blockedReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, io.ErrUnexpectedEOF
}
