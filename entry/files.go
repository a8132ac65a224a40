package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

const (
	// chunkBytes and chunkItems bound one chunk record of a batch file.
	chunkBytes = 256 << 10
	chunkItems = 512
	// maxItems bounds the lines of one batch file.
	maxItems = 53_000
	// maxLineBytes bounds one line.
	maxLineBytes = 1 << 20
)

// fileResponse is the answer to an upload.
type fileResponse struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Items  int    `json:"items"`
}

// serveUpload stores a batch file in JSON Lines, as the body itself or as the
// part "file" of a form. The same content gets the same ID.
func (e *Entry) serveUpload(w http.ResponseWriter, r bunrouter.Request) error {
	source, err := e.uploadSource(w, r)
	if err != nil {
		return err
	}
	u := newUpload(e, workspaceOf(r))
	if err := u.read(r.Context(), source); err != nil {
		return err
	}
	transport.WriteJSON(w, http.StatusOK, fileResponse{ID: u.content, Object: "file", Items: u.count})
	return nil
}

// uploadSource returns the file's bytes as they arrive.
func (e *Entry) uploadSource(w http.ResponseWriter, r bunrouter.Request) (io.Reader, error) {
	r.Body = http.MaxBytesReader(w, r.Body, e.settings.Entry.MaxFileBytes)
	media, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if media != "multipart/form-data" {
		return r.Body, nil
	}
	form, err := r.MultipartReader()
	if err != nil {
		return nil, protocol.ErrBadRequest.New("malformed form: %v", err)
	}
	for {
		part, err := form.NextPart()
		if err != nil {
			return nil, protocol.ErrBadRequest.New("the form has no readable part \"file\": %v", err)
		}
		if part.FormName() == "file" {
			return part, nil
		}
	}
}

// upload checks a batch file line by line and appends it in chunks as it
// arrives, so that its memory does not grow with the file but for the names of
// its items.
type upload struct {
	entry     *Entry
	id        string
	workspace string
	service   string
	seen      map[string]bool
	// chunk holds the items not yet appended, of size bytes.
	chunk  []protocol.Item
	size   int
	chunks int
	count  int
	// content is the file's ID, from its bytes and the workspace.
	content string
}

func newUpload(e *Entry, workspace string) *upload {
	return &upload{entry: e, id: "upload-" + protocol.NewID(), workspace: workspace, seen: map[string]bool{}}
}

// read takes the whole file. It fails with ErrBadRequest, which names the line,
// and then the chunks appended so far have no effect.
func (u *upload) read(ctx context.Context, source io.Reader) error {
	digest := sha256.New()
	_, _ = io.WriteString(digest, u.workspace+"\x00")
	scanner := bufio.NewScanner(io.TeeReader(source, digest))
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		item, err := u.parseLine(n, scanner.Bytes())
		if err != nil {
			return err
		}
		if err := u.add(ctx, item); err != nil {
			return err
		}
	}
	if err := uploadError(scanner.Err()); err != nil {
		return err
	}
	if u.count == 0 {
		return protocol.ErrBadRequest.New("the file has no lines")
	}
	const idBytes = 16
	u.content = "file-" + hex.EncodeToString(digest.Sum(nil)[:idBytes])
	return u.finish(ctx)
}

// uploadError gives the reason for which the lines ended early.
func uploadError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bufio.ErrTooLong):
		return protocol.ErrBadRequest.New("a line is longer than %d bytes", maxLineBytes)
	case errors.As(err, &tooLarge):
		return protocol.ErrTooLarge.New("file above %d bytes", tooLarge.Limit)
	default:
		return protocol.ErrBadRequest.Wrap(err, "read file")
	}
}

func (u *upload) add(ctx context.Context, item protocol.Item) error {
	full := len(u.chunk) == chunkItems || u.size+len(item.Body) > chunkBytes
	if full && len(u.chunk) > 0 {
		if err := u.appendChunk(ctx, 0); err != nil {
			return err
		}
	}
	u.chunk = append(u.chunk, item)
	u.size += len(item.Body)
	u.count++
	return nil
}

// finish appends the last chunk, unless the same file is there already.
func (u *upload) finish(ctx context.Context) error {
	if _, found := u.entry.jobs.File(u.content); found {
		return nil
	}
	return u.appendChunk(ctx, u.chunks+1)
}

// appendChunk stores the gathered items as one chunk. Total is the number of all
// chunks with the last one, zero before.
func (u *upload) appendChunk(ctx context.Context, total int) error {
	rec := protocol.Record{ID: protocol.NewID(), File: &protocol.FileChunk{
		File: u.id, Workspace: u.workspace, Service: u.service, Index: u.chunks, Chunks: total, Items: u.chunk,
	}}
	if total > 0 {
		rec.File.Content = u.content
	}
	u.chunks++
	u.chunk, u.size = nil, 0
	return u.entry.appendAndFold(ctx, rec)
}

// batchLine is one line of a batch file.
type batchLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// parseLine reads one line.
func (u *upload) parseLine(n int, data []byte) (protocol.Item, error) {
	var none protocol.Item
	var line batchLine
	if err := json.Unmarshal(data, &line); err != nil {
		return none, protocol.ErrBadRequest.New("line %d: malformed JSON: %v", n, err)
	}
	switch {
	case line.CustomID == "":
		return none, protocol.ErrBadRequest.New("line %d: custom_id is missing", n)
	case u.seen[line.CustomID]:
		return none, protocol.ErrBadRequest.New("line %d: custom_id %q stands twice", n, line.CustomID)
	case line.URL != "" && line.URL != chatPath:
		return none, protocol.ErrBadRequest.New("line %d: url must be %s", n, chatPath)
	case line.Method != "" && line.Method != http.MethodPost:
		return none, protocol.ErrBadRequest.New("line %d: method must be POST", n)
	case u.count == maxItems:
		return none, protocol.ErrTooLarge.New("line %d: a file has at most %d lines", n, maxItems)
	}
	chat, err := protocol.ParseChat(line.Body)
	if err != nil {
		return none, protocol.ErrBadRequest.New("line %d: body: %s", n, protocol.ProblemOf(err).Detail)
	}
	if u.service == "" {
		u.service = chat.Model
	}
	if chat.Model != u.service {
		return none, protocol.ErrBadRequest.New("line %d: model %q, but the file began with %q", n, chat.Model, u.service)
	}
	u.seen[line.CustomID] = true
	return protocol.Item{CustomID: line.CustomID, Body: line.Body}, nil
}
