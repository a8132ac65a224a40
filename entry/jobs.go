package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uptrace/bunrouter"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
	"github.com/sycamoretally/sycamoretally/transport"
)

// DefaultWindow is the completion window of a job that names none.
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

// JobRequest is the body of a job submission.
type JobRequest struct {
	InputFileID      string `json:"input_file_id"`
	Endpoint         string `json:"endpoint"`
	CompletionWindow string `json:"completion_window"`
}

// serveSubmit accepts a job for an uploaded file. A repeated submission returns
// the same job, whether or not its service still exists.
func (e *Entry) serveSubmit(w http.ResponseWriter, r bunrouter.Request) error {
	body, err := readBody(w, r, e.settings.Entry.MaxBodyBytes)
	if err != nil {
		return err
	}
	s, err := parseSubmission(body, workspaceOf(r), r.Header.Get(headerKey))
	if err != nil {
		return err
	}
	clock := e.ring.Clock().Now()
	if _, found := e.jobs.Job(s.job); !found {
		if err := e.acceptJob(r.Context(), clock, s); err != nil {
			return err
		}
	}
	if err := e.catchUp(r.Context()); err != nil {
		return err
	}
	j, found := e.jobs.Job(s.job)
	if !found {
		return protocol.ErrInternal.New("the job was not accepted")
	}
	if j.File != s.file {
		return protocol.ErrKeyConflict.New("the key belongs to a job with another input file")
	}
	trace := traceOf(r.Request)
	e.ring.AddAt(clock, trace, "job accepted", "job", j.Job)
	klog.InfoS("job accepted", "trace", trace, "job", j.Job, "items", j.Items, "service", j.Service)
	transport.WriteJSON(w, http.StatusOK, newJobResponse(j))
	return nil
}

// submission is a job as its caller submits it.
type submission struct {
	job       string
	workspace string
	file      string
	window    time.Duration
}

// parseSubmission decodes the body of a submission. The job's ID follows from the caller's
// key or, without one, from the file and the window.
func parseSubmission(body []byte, workspace, key string) (submission, error) {
	var request JobRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return submission{}, protocol.ErrBadRequest.New("malformed JSON: %v", err)
	}
	window := DefaultWindow
	if request.CompletionWindow != "" {
		parsed, err := time.ParseDuration(request.CompletionWindow)
		if err != nil || parsed <= 0 {
			return submission{}, protocol.ErrBadRequest.New("completion_window %q is not a duration such as \"24h\"", request.CompletionWindow)
		}
		window = parsed
	}
	identity := key
	if identity == "" {
		identity = request.InputFileID + "/" + request.CompletionWindow
	}
	job := "job-" + protocol.Fingerprint([]byte(workspace), []byte(identity))
	return submission{job: job, workspace: workspace, file: request.InputFileID, window: window}, nil
}

// acceptJob accepts the job unless it was accepted before. It reports that its file or
// service does not exist only if the log up to its end has neither file nor job.
func (e *Entry) acceptJob(ctx context.Context, clock uint64, s submission) error {
	err := e.appendJob(ctx, clock, s)
	if !errorx.IsOfType(err, protocol.ErrNotFound) {
		return err
	}
	if err := e.foldToEndInTime(ctx); err != nil {
		return err
	}
	if _, found := e.jobs.Job(s.job); found {
		return nil
	}
	return e.appendJob(ctx, clock, s)
}

// appendJob appends the job's record if this entry knows its file and its service.
func (e *Entry) appendJob(ctx context.Context, clock uint64, s submission) error {
	file, found := e.jobs.File(s.file)
	if !found || file.Workspace != s.workspace {
		return protocol.ErrNotFound.New("no file %q", s.file)
	}
	if _, err := e.findService(e.context(), file.Service, protocol.ServiceModel); err != nil {
		return err
	}
	return e.appendAndFold(ctx, protocol.Record{ID: protocol.NewID(), Clock: clock, Job: &protocol.JobAccept{
		Job: s.job, Workspace: s.workspace, Service: file.Service, File: s.file, DueUnixMillis: time.Now().Add(s.window).UnixMilli(),
	}})
}

// foldToEndInTime is foldToEnd within storeTimeout. It fails with ErrBusy: without the end of
// the log this entry cannot tell that something does not exist.
func (e *Entry) foldToEndInTime(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := e.foldToEnd(ctx); err != nil {
		return protocol.ErrBusy.Wrap(err, "the end of the log cannot be read")
	}
	return nil
}

// catchUp waits until this entry has folded everything that the log held when it
// was called, so that a response is never older than an earlier one from another
// entry. If the log cannot be read, the present state is used. It fails with
// ErrBusy if the log can be read but the fold lags behind.
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

// findJob returns the job that the request names if its caller may see it. If
// the job is running it catches up with the log first. If it is unknown, it reads
// the log to its end, and fails with ErrBusy if it cannot.
func (e *Entry) findJob(r bunrouter.Request) (state.Job, error) {
	j, found := e.jobs.Job(r.Param("job"))
	var err error
	switch {
	case !found:
		err = e.foldToEndInTime(r.Context())
	case j.Status == state.JobRunning:
		err = e.catchUp(r.Context())
	}
	if err != nil {
		return j, err
	}
	j, found = e.jobs.Job(r.Param("job"))
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

// serveCancel responds once the cancellation is durable. A job that finished
// before stays finished.
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

// serveResults writes the results available so far in JSON Lines, in the order
// of the file's lines.
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
	return nil, protocol.ErrInternal.New("record %s has no result for item %d", pos, index)
}

// resultWriter writes result lines. If an error occurs after the first line it
// aborts the connection, so that a partial response cannot be taken for a
// complete one.
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
	klog.ErrorS(err, "results aborted")
	panic(http.ErrAbortHandler)
}
