package worklog

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Accept makes a job the system's to keep.
type Accept struct {
	Job fleet.Job `msgpack:"j"`
	// Route is the name of the job's route.
	Route string `msgpack:"r"`
	// Path is the path of the submission, by which the route is found again in
	// later configurations.
	Path string `msgpack:"p"`
	// AcceptedUnixMillis is the acceptor's time of day, in Unix milliseconds. Clocks differ
	// and jump, so that it only hints at a job's age to a process that starts later.
	AcceptedUnixMillis int64 `msgpack:"t"`
}

// End stops a job.
type End struct {
	Job string `msgpack:"j"`
}

// ItemRef names an item.
type ItemRef struct {
	Job  string `msgpack:"j"`
	Item string `msgpack:"i"`
}

// Claim says that its writer runs items of one job.
type Claim struct {
	Items []ClaimedItem `msgpack:"i"`
}

// ClaimedItem is one item of a claim.
type ClaimedItem struct {
	ItemRef
	// Replaces is the offset of the claim that this one replaces, NoClaim for an item
	// that nobody holds.
	Replaces int64 `msgpack:"o"`
}

// NoClaim stands for an item that nobody holds.
const NoClaim = -1

// Release gives a claimed item back with what has been done of it.
type Release struct {
	ItemRef
	Progress Progress `msgpack:"p"`
}

// Progress is how far an item has come.
type Progress struct {
	// Text holds the data of the events so far, After the number of the last.
	Text        string `msgpack:"t"`
	LastEventID string `msgpack:"a"`
	Events      int    `msgpack:"n"`
	// Failures counts the runs that the target itself failed.
	Failures int `msgpack:"f"`
}

// Save says how far an item has come that its holder goes on with, for whoever takes
// it over should the holder end without a word.
type Save struct {
	ItemRef
	// LastEventID, Events and Failures are those of the Progress.
	LastEventID string `msgpack:"a"`
	Events      int    `msgpack:"n"`
	Failures    int    `msgpack:"f,omitempty"`
	// Offset is where the text is in the topic of texts, under SavedKey, and Bytes
	// bounds the size of the whole record.
	Offset int64 `msgpack:"o"`
	Bytes  int   `msgpack:"b"`
}

// Done is the end of an item.
type Done struct {
	Job   string            `msgpack:"j"`
	Item  string            `msgpack:"i"`
	State fleet.ResultState `msgpack:"s"`
	// Text is where the item's output is, nil where it has none.
	Text *TextRef `msgpack:"t,omitempty"`
}

// Entry is one record of the log; exactly one of its members but Writer is set.
type Entry struct {
	// Writer is the process that wrote the record.
	Writer  string   `msgpack:"w"`
	Accept  *Accept  `msgpack:"a,omitempty"`
	End     *End     `msgpack:"e,omitempty"`
	Claim   *Claim   `msgpack:"c,omitempty"`
	Release *Release `msgpack:"l,omitempty"`
	Save    *Save    `msgpack:"s,omitempty"`
	Done    *Done    `msgpack:"d,omitempty"`
	Crash   *Crash   `msgpack:"x,omitempty"`
	Cleared *Cleared `msgpack:"y,omitempty"`
	// Heartbeat says only that the writer goes on with what it has claimed.
	Heartbeat bool `msgpack:"v,omitempty"`
}

// heartbeatPrefix begins the key of the record by which a writer says that it goes on.
const heartbeatPrefix = "alive/"

// job returns the job that the entry names, empty where it names none.
func (e *Entry) job() string {
	switch {
	case e.Accept != nil:
		return e.Accept.Job.ID
	case e.End != nil:
		return e.End.Job
	case e.Claim != nil && len(e.Claim.Items) > 0:
		return e.Claim.Items[0].Job
	case e.Release != nil:
		return e.Release.Job
	case e.Save != nil:
		return e.Save.Job
	case e.Done != nil:
		return e.Done.Job
	}
	return ""
}

// Writer makes records with keys that no other record has, so that the store
// keeps each; only the newest Alive record of a writer stays.
type Writer struct {
	name string
	seq  atomic.Uint64
}

// NewWriter returns the writer of a process. The name must be unique to its
// lifetime. It is safe for concurrent use.
func NewWriter(name string) *Writer { return &Writer{name: name} }

// NewProcessWriter returns the writer of a process of the instance.
func NewProcessWriter(instance string) *Writer {
	return NewWriter(instance + processSeparator + protocol.NewID())
}

// processSeparator stands between an instance's name and the ID of its process.
const processSeparator = "-"

// SameInstance reports whether both are names of processes of one instance, of which
// no two ever run at the same time.
func SameInstance(a, b string) bool {
	i, j := strings.LastIndex(a, processSeparator), strings.LastIndex(b, processSeparator)
	return i > 0 && j > 0 && a[:i] == b[:j]
}

// Name returns the writer's name.
func (w *Writer) Name() string { return w.name }

// NextKey returns a key that no other record has.
func (w *Writer) NextKey() string {
	return w.name + "/" + strconv.FormatUint(w.seq.Add(1), 36)
}

// Encode encodes an entry into a record without a key, unless a later record shall
// replace it: one that only says that the writer goes on, or that tells of a crash. It
// fails with ErrMalformed.
func (w *Writer) Encode(e Entry) (fleet.Record, error) {
	e.Writer = w.name
	value, err := msgpack.Marshal(&e)
	if err != nil {
		return fleet.Record{}, fleet.ErrMalformed.Wrap(err, "encode record")
	}
	r := fleet.Record{Value: value}
	switch {
	case e.Heartbeat:
		r.Key = heartbeatPrefix + w.name
	case e.Crash != nil:
		r.Key = crashKey(e.Crash.Fingerprint, e.Crash.Target)
	case e.Cleared != nil:
		r.Key = crashKey(e.Cleared.Fingerprint, clearedSuffix)
	}
	return r, nil
}

// Record encodes an entry into a record with a key of its own. The record must
// not be appended again where the first append may have been done.
func (w *Writer) Record(e Entry) (fleet.Record, error) {
	r, err := w.Encode(e)
	if err == nil && r.Key == "" {
		r.Key = w.NextKey()
	}
	return r, err
}

// decode returns the entry of a record, false for one of another form.
func decode(r fleet.Record) (e Entry, ok bool) {
	if len(r.Value) == 0 {
		return Entry{}, false
	}
	if err := msgpack.Unmarshal(r.Value, &e); err != nil {
		return Entry{}, false
	}
	return e, e.Writer != ""
}

// Item is the state of one item.
type Item struct {
	fleet.Item
	Ref ItemRef
	// Claim is the offset of the claim in force, NoClaim without one, and Holder
	// its writer.
	Claim  int64
	Holder string
	// Progress is what was given back with the item, Saved what a holder has saved
	// since, nil if nothing; it is always more than Progress.
	Progress Progress
	Saved    *Save
	// Done is set once the item has a result.
	Done bool
}

// ResumeEvents returns the number of events with which a run of the item can begin.
func (i *Item) ResumeEvents() int {
	if i.Saved != nil {
		return i.Saved.Events
	}
	return i.Progress.Events
}

// Result is the end of an item at its position.
type Result struct {
	Item  string
	State fleet.ResultState
	Text  *TextRef
}

// Job is the state of one job.
type Job struct {
	Accept *Accept
	// Acceptor is the writer of the accept.
	Acceptor string
	Offset   int64
	Ended    bool
	Items    []*Item
	Results  []Result
	// AcceptedAt is when the job was accepted, and Closed when it was done or ended, as
	// far as this process knows, by its monotonic clock; Closed is zero while the
	// job is open.
	AcceptedAt time.Time
	ClosedAt   time.Time
	// recordKeys are those of all records that name the job, texts those of its outputs.
	recordKeys []string
	textKeys   []string
}

// Deletions returns the records that delete all of the job: its records of the log,
// of which the store must take all or none, and its outputs.
func (j *Job) Deletions() (log, texts []fleet.Record) {
	return deletionsOf(j.recordKeys), deletionsOf(j.textKeys)
}

func deletionsOf(keys []string) []fleet.Record {
	records := make([]fleet.Record, 0, len(keys))
	for _, key := range keys {
		records = append(records, fleet.Record{Key: key})
	}
	return records
}

// Open reports whether items of the job are still to be done.
func (j *Job) Open() bool { return !j.Ended && len(j.Results) < len(j.Items) }

// WithEvent returns the progress after one more event.
func (p Progress) WithEvent(id, data string) Progress {
	if p.Events > 0 {
		p.Text += "\n"
	}
	p.Text += data
	if id != "" {
		p.LastEventID = id
	}
	p.Events++
	return p
}
