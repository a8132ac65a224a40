package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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

// fileAnswer is the answer to an upload.
type fileAnswer struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Items  int    `json:"items"`
}

// serveUpload stores a batch file in JSON Lines, as the body itself or as the
// part "file" of a form. The same content gets the same ID.
func (e *Entry) serveUpload(w http.ResponseWriter, r bunrouter.Request) error {
	data, err := e.readUpload(w, r)
	if err != nil {
		return err
	}
	lines, err := parseLines(data)
	if err != nil {
		return err
	}
	id := "file-" + protocol.Fingerprint([]byte(workspaceOf(r)), data)
	if _, found := e.jobs.File(id); !found {
		if err := e.storeFile(r.Context(), id, workspaceOf(r), lines); err != nil {
			return err
		}
	}
	transport.WriteJSON(w, http.StatusOK, fileAnswer{ID: id, Object: "file", Items: len(lines.items)})
	return nil
}

func (e *Entry) readUpload(w http.ResponseWriter, r bunrouter.Request) ([]byte, error) {
	media, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if media != "multipart/form-data" {
		return readBody(w, r, e.settings.Entry.MaxFileBytes)
	}
	r.Body = http.MaxBytesReader(w, r.Body, e.settings.Entry.MaxFileBytes)
	file, _, err := r.FormFile("file")
	if err != nil {
		return nil, protocol.ErrBadRequest.New("the form has no readable part \"file\": %v", err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(file)
	if err != nil {
		return nil, protocol.ErrTooLarge.Wrap(err, "read file")
	}
	return data, nil
}

// batchLine is one line of a batch file.
type batchLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// batchLines is a checked batch file.
type batchLines struct {
	service string
	items   []protocol.Item
}

// parseLines checks every line. It fails with ErrBadRequest, which names the line.
func parseLines(data []byte) (*batchLines, error) {
	lines := &batchLines{}
	seen := map[string]bool{}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		if err := lines.add(n, scanner.Bytes(), seen); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, protocol.ErrBadRequest.New("a line is longer than %d bytes", maxLineBytes)
	}
	if len(lines.items) == 0 {
		return nil, protocol.ErrBadRequest.New("the file has no lines")
	}
	return lines, nil
}

func (l *batchLines) add(n int, data []byte, seen map[string]bool) error {
	var line batchLine
	if err := json.Unmarshal(data, &line); err != nil {
		return protocol.ErrBadRequest.New("line %d: malformed JSON: %v", n, err)
	}
	switch {
	case line.CustomID == "":
		return protocol.ErrBadRequest.New("line %d: custom_id is missing", n)
	case seen[line.CustomID]:
		return protocol.ErrBadRequest.New("line %d: custom_id %q stands twice", n, line.CustomID)
	case line.URL != "" && line.URL != chatPath:
		return protocol.ErrBadRequest.New("line %d: url must be %s", n, chatPath)
	case line.Method != "" && line.Method != http.MethodPost:
		return protocol.ErrBadRequest.New("line %d: method must be POST", n)
	case len(l.items) == maxItems:
		return protocol.ErrTooLarge.New("line %d: a file has at most %d lines", n, maxItems)
	}
	chat, err := protocol.ParseChat(line.Body)
	if err != nil {
		return protocol.ErrBadRequest.New("line %d: body: %s", n, protocol.ProblemOf(err).Detail)
	}
	if l.service == "" {
		l.service = chat.Model
	}
	if chat.Model != l.service {
		return protocol.ErrBadRequest.New("line %d: model %q, but the file began with %q", n, chat.Model, l.service)
	}
	seen[line.CustomID] = true
	l.items = append(l.items, protocol.Item{CustomID: line.CustomID, Body: bytes.Clone(line.Body)})
	return nil
}

// storeFile appends the file in chunks and waits until this entry has folded
// them.
func (e *Entry) storeFile(ctx context.Context, id, workspace string, lines *batchLines) error {
	chunks := splitChunks(lines.items)
	for i, items := range chunks {
		rec := protocol.Record{ID: protocol.NewID(), File: &protocol.FileChunk{
			File: id, Workspace: workspace, Service: lines.service, Index: i, Chunks: len(chunks), Items: items,
		}}
		if err := e.appendAndFold(ctx, rec); err != nil {
			return err
		}
	}
	return nil
}

func splitChunks(items []protocol.Item) [][]protocol.Item {
	var chunks [][]protocol.Item
	begin, size := 0, 0
	for i, item := range items {
		if i > begin && (size+len(item.Body) > chunkBytes || i-begin == chunkItems) {
			chunks = append(chunks, items[begin:i])
			begin, size = i, 0
		}
		size += len(item.Body)
	}
	return append(chunks, items[begin:])
}
