package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
	"github.com/sycamoretally/sycamoretally/transport"
)

// DefaultWindow is the time in which a job is due that names none.
const DefaultWindow = 24 * time.Hour

// JobResponse describes a job to callers.
type JobResponse struct {
	ID          string    `json:"id"`
	Object      string    `json:"object"`
	Status      string    `json:"status"`
	InputFileID string    `json:"input_file_id"`
	Due         time.Time `json:"due"`
	Counts      JobCounts `json:"request_counts"`
}

// JobCounts counts the items of a job.
type JobCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func newJobResponse(j state.Job) JobResponse {
	return JobResponse{
		ID:          j.Job,
		Object:      "batch",
		Status:      string(j.Status),
		InputFileID: j.File,
		Due:         time.UnixMilli(j.DueUnixMillis).UTC(),
		Counts:      JobCounts{Total: j.Items, Completed: j.Completed, Failed: j.Failed},
	}
}

// JobRequest is the body of a submission.
type JobRequest struct {
	InputFileID      string `json:"input_file_id"`
	Endpoint         string `json:"endpoint"`
	CompletionWindow string `json:"completion_window"`
}

// serveSubmit accepts a job over an uploaded file. A resend gets the same job.
func (e *Entry) serveSubmit(w http.ResponseWriter, r bunrouter.Request) error {
	body, err := readBody(w, r, e.settings.Entry.MaxBodyBytes)
	if err != nil {
		return err
	}
	accept, err := e.parseJob(body, workspaceOf(r), r.Header.Get(headerKey))
	if err != nil {
		return err
	}
	clock := e.ring.Clock().Now()
	if _, found := e.jobs.Job(accept.Job); !found {
		rec := protocol.Record{ID: protocol.NewID(), Clock: clock, Job: accept}
		if err := e.appendAndFold(r.Context(), rec); err != nil {
			return err
		}
	}
	if err := e.catchUp(r.Context()); err != nil {
		return err
	}
	j, found := e.jobs.Job(accept.Job)
	if !found {
		return protocol.ErrInternal.New("the job was not accepted")
	}
	if j.File != accept.File {
		return protocol.ErrKeyConflict.New("the key belongs to a job over another file")
	}
	trace := traceOf(r.Request)
	e.ring.AddAt(clock, trace, "job accepted", "job", j.Job)
	klog.InfoS("job accepted", "trace", trace, "job", j.Job, "items", j.Items, "service", j.Service)
	transport.WriteJSON(w, http.StatusOK, newJobResponse(j))
	return nil
}

func (e *Entry) parseJob(body []byte, workspace, key string) (*protocol.JobAccept, error) {
	var want JobRequest
	if err := json.Unmarshal(body, &want); err != nil {
		return nil, protocol.ErrBadRequest.New("malformed JSON: %v", err)
	}
	file, found := e.jobs.File(want.InputFileID)
	if !found || file.Workspace != workspace {
		return nil, protocol.ErrNotFound.New("no file %q", want.InputFileID)
	}
	window := DefaultWindow
	if want.CompletionWindow != "" {
		parsed, err := time.ParseDuration(want.CompletionWindow)
		if err != nil || parsed <= 0 {
			return nil, protocol.ErrBadRequest.New("completion_window %q is not a duration such as \"24h\"", want.CompletionWindow)
		}
		window = parsed
	}
	if _, err := e.findService(e.context(), file.Service, protocol.ServiceModel); err != nil {
		return nil, err
	}
	identity := key
	if identity == "" {
		identity = want.InputFileID + "/" + want.CompletionWindow
	}
	return &protocol.JobAccept{
		Job:           "job-" + protocol.Fingerprint([]byte(workspace), []byte(identity)),
		Workspace:     workspace,
		Service:       file.Service,
		File:          want.InputFileID,
		DueUnixMillis: time.Now().Add(window).UnixMilli(),
	}, nil
}

// catchUp waits until this entry has folded everything that the log held when
// it was called, so that an answer never goes back behind one that another entry
// gave before. Without the log the fold must do. It fails with ErrBusy where the
// log answers and the fold lags.
func (e *Entry) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next, err := e.logEnd.nextOffset(ctx, e.workStream.follower.Next())
	if err != nil {
		return nil
	}
	if err := e.workStream.follower.WaitFor(ctx, next-1); err != nil {
		return protocol.ErrBusy.Wrap(err, "this entry lags behind the log")
	}
	return nil
}

// findJob returns the job that the request names, if its caller may see it. The
// state of a job that runs or is not known is checked against the log first.
func (e *Entry) findJob(r bunrouter.Request) (state.Job, error) {
	if j, found := e.jobs.Job(r.Param("job")); !found || j.Status == state.JobRunning {
		if err := e.catchUp(r.Context()); err != nil {
			return j, err
		}
	}
	j, found := e.jobs.Job(r.Param("job"))
	if !found || j.Workspace != workspaceOf(r) {
		return j, protocol.ErrNotFound.New("no job %q", r.Param("job"))
	}
	return j, nil
}

func (e *Entry) serveJob(w http.ResponseWriter, r bunrouter.Request) error {
	j, err := e.findJob(r)
	if err != nil {
		return err
	}
	transport.WriteJSON(w, http.StatusOK, newJobResponse(j))
	return nil
}

// serveCancel acknowledges once the cancel is durable. A job that finished
// first stays finished.
func (e *Entry) serveCancel(w http.ResponseWriter, r bunrouter.Request) error {
	j, err := e.findJob(r)
	if err != nil {
		return err
	}
	if j.Status == state.JobRunning {
		rec := protocol.Record{ID: protocol.NewID(), Cancel: &protocol.JobCancel{Job: j.Job}}
		if err := e.appendAndFold(r.Context(), rec); err != nil {
			return err
		}
		j, _ = e.jobs.Job(j.Job)
	}
	klog.InfoS("job cancelled", "job", j.Job, "status", j.Status)
	transport.WriteJSON(w, http.StatusOK, newJobResponse(j))
	return nil
}

// ResultLine is one line of a job's results.
type ResultLine struct {
	CustomID string           `json:"custom_id"`
	Outcome  protocol.Outcome `json:"outcome"`
	Status   int              `json:"status"`
	Text     string           `json:"text"`
}

// resultsPage is the number of results looked up at a time.
const resultsPage = 512

// serveResults writes the results so far in JSON Lines, in the order of the
// file's lines.
func (e *Entry) serveResults(w http.ResponseWriter, r bunrouter.Request) error {
	j, err := e.findJob(r)
	if err != nil {
		return err
	}
	out := &resultWriter{w: w}
	for from := 0; from < j.Items; from += resultsPage {
		for i, pos := range e.jobs.Results(j.Job, from, resultsPage) {
			if pos == 0 {
				continue
			}
			line, err := e.readResult(r, pos, from+i)
			if err != nil {
				return out.fail(err)
			}
			out.write(line)
		}
	}
	return nil
}

func (e *Entry) readResult(r bunrouter.Request, pos protocol.Position, index int) (*ResultLine, error) {
	rec, err := e.bodies.Record(r.Context(), pos)
	if err != nil {
		return nil, err
	}
	for _, item := range rec.Items.Items {
		if item.Index == index {
			return &ResultLine{item.CustomID, item.Result.Outcome, item.Result.Status, string(item.Result.Body)}, nil
		}
	}
	return nil, protocol.ErrInternal.New("record %s has no result of item %d", pos, index)
}

// resultWriter writes lines and cuts the connection on a late failure, so that
// a part never passes for the whole.
type resultWriter struct {
	w       http.ResponseWriter
	encoder *json.Encoder
}

func (o *resultWriter) write(line *ResultLine) {
	if o.encoder == nil {
		o.w.Header().Set("Content-Type", "application/jsonl")
		o.encoder = json.NewEncoder(o.w)
	}
	_ = o.encoder.Encode(line)
}

func (o *resultWriter) fail(err error) error {
	if o.encoder == nil {
		return err
	}
	klog.ErrorS(err, "results cut")
	panic(http.ErrAbortHandler)
}
