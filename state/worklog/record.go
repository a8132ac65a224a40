package worklog

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Accept records that a job was accepted. From then on the system is responsible for it.
type Accept struct {
	Job fleet.Job `msgpack:"j"`
	// Route is the name of the job's route.
	Route string `msgpack:"r"`
	// Path is the path of the submission, by which the route can be looked up in later
	// configurations.
	Path string `msgpack:"p"`
	// AcceptedUnixMillis is the acceptor's time of day. Clocks differ and jump, so it gives
	// only an estimate of the job's age to a process that starts later.
	AcceptedUnixMillis int64 `msgpack:"t"`
	// ConfigVersion is the version of the configuration by which the job was accepted. An
	// older one says nothing about the job. It is 0 in records of processes that did not
	// write it.
	ConfigVersion int64 `msgpack:"v,omitempty"`
	// RetentionMillis is how long the route kept items when the job was accepted, 0 in records of
	// processes that did not write it and if the route keeps them for ever.
	RetentionMillis int64 `msgpack:"n,omitempty"`
	// Workspace is the name of the workspace that the job belongs to. It is empty in records
	// of processes that did not write it, of callers without a key, and where the
	// configuration had no workspaces: such a job is open to all callers.
	Workspace string `msgpack:"w,omitempty"`
}

// End ends a job: it takes no more results.
type End struct {
	Job string `msgpack:"j"`
}

// ItemRef identifies an item of a job.
type ItemRef struct {
	Job  string `msgpack:"j"`
	Item string `msgpack:"i"`
}

// Claim records that its writer is going to run items of one job.
type Claim struct {
	Items []ClaimedItem `msgpack:"i"`
}

// ClaimedItem is one item of a claim.
type ClaimedItem struct {
	ItemRef
	// Replaces is the offset of the claim that this one replaces, or NoClaim for an item
	// without a holder.
	Replaces int64 `msgpack:"o"`
}

// NoClaim is the claim offset of an item without a holder.
const NoClaim = -1

// Release gives a claimed item back, with the progress that has been made on it.
type Release struct {
	ItemRef
	Progress Progress `msgpack:"p"`
}

// Progress is the partial output of an item.
type Progress struct {
	// Text holds the data of the events so far, separated by newlines, and LastEventID
	// the ID of the last event that had one.
	Text        string `msgpack:"t"`
	LastEventID string `msgpack:"a"`
	Events      int    `msgpack:"n"`
	// Failures counts the runs that the target itself failed, by an internal server error.
	Failures int `msgpack:"f"`
}

// CanResume reports whether a run can go on after the progress: there is none, or its events are
// numbered from 1 on, so that an event left out or taken twice shows.
func (p Progress) CanResume() bool {
	return p.LastEventID == "" && p.Events == 0 || p.LastEventID == strconv.Itoa(p.Events)
}

// Save records the progress of an item that its holder is still running, so that another
// process can resume the item if the holder ends without releasing it.
type Save struct {
	ItemRef
	// LastEventID, Events and Failures have the same meaning as in Progress.
	LastEventID string `msgpack:"a"`
	Events      int    `msgpack:"n"`
	Failures    int    `msgpack:"f,omitempty"`
	// Offset is the offset of the text in the topic of texts, where its key is SavedKey.
	// Bytes is an upper bound of the size of that record.
	Offset int64 `msgpack:"o"`
	Bytes  int   `msgpack:"b"`
}

// Done records the result of an item.
type Done struct {
	Job   string            `msgpack:"j"`
	Item  string            `msgpack:"i"`
	State fleet.ResultState `msgpack:"s"`
	// Text locates the item's output; it is nil if there is none.
	Text *TextRef `msgpack:"t,omitempty"`
}

// Entry is the content of one record of the log. Exactly one field besides Writer is set.
type Entry struct {
	// Writer is the name of the process that wrote the record.
	Writer  string   `msgpack:"w"`
	Accept  *Accept  `msgpack:"a,omitempty"`
	End     *End     `msgpack:"e,omitempty"`
	Claim   *Claim   `msgpack:"c,omitempty"`
	Release *Release `msgpack:"l,omitempty"`
	Save    *Save    `msgpack:"s,omitempty"`
	Done    *Done    `msgpack:"d,omitempty"`
	Crash   *Crash   `msgpack:"x,omitempty"`
	Cleared *Cleared `msgpack:"y,omitempty"`
	// PartQuarantined and PartCleared quarantine and clear a part of prompts.
	PartQuarantined *PartQuarantined `msgpack:"q,omitempty"`
	PartCleared     *PartCleared     `msgpack:"z,omitempty"`
	// Heartbeat is set in records that only show that the writer is alive and still runs
	// the items that it has claimed.
	Heartbeat bool `msgpack:"v,omitempty"`
	// Presence shows that a gateway is present. Earlier builds ignore it.
	Presence *Presence `msgpack:"p,omitempty"`
}

// heartbeatPrefix is the prefix of the keys of heartbeat records.
const heartbeatPrefix = "alive/"

// job returns the ID of the job that the entry refers to, or the empty string if there
// is none.
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

// Writer creates the records of one process. Their keys are unique, so that the store
// retains every record, except that a writer's newest heartbeat replaces the earlier
// ones, and that records about the same crash share a key. It is safe for concurrent
// use.
type Writer struct {
	name string
	seq  atomic.Uint64
}

// NewWriter returns the writer of a process. The name must be unique to one
// lifetime of the process.
func NewWriter(name string) *Writer { return &Writer{name: name} }

// NewProcessWriter returns a writer with a name that is unique to this process of the
// instance.
func NewProcessWriter(instance string) *Writer {
	return NewWriter(instance + processSeparator + protocol.NewShortID())
}

// processSeparator separates an instance's name and the ID of its process in the name
// of a writer.
const processSeparator = "-"

// SameInstance reports whether a and b are names of writers of the same instance. No two
// processes of an instance ever run at the same time.
func SameInstance(a, b string) bool {
	i, j := strings.LastIndex(a, processSeparator), strings.LastIndex(b, processSeparator)
	return i > 0 && j > 0 && a[:i] == b[:j]
}

// Name returns the writer's name.
func (w *Writer) Name() string { return w.name }

// NextKey returns a unique key.
func (w *Writer) NextKey() string {
	return w.name + "/" + strconv.FormatUint(w.seq.Add(1), 36)
}

// Encode encodes an entry into a record. Only records that a later one replaces have a
// key: heartbeats, presences, crashes, and records that judge a request or a part. It fails with
// ErrMalformed.
func (w *Writer) Encode(e Entry) (fleet.Record, error) {
	e.Writer = w.name
	value, err := msgpack.Marshal(&e)
	if err != nil {
		return fleet.Record{}, fleet.ErrMalformed.Wrap(err, "encode record of the work log")
	}
	r := fleet.Record{Value: value}
	switch {
	case e.Heartbeat:
		r.Key = heartbeatPrefix + w.name
	case e.Crash != nil:
		r.Key = crashKey(e.Crash.Fingerprint, e.Crash.Target)
	case e.Cleared != nil:
		r.Key = crashKey(e.Cleared.Fingerprint, clearedSuffix)
	case e.PartQuarantined != nil:
		r.Key = partKey(e.PartQuarantined.Part)
	case e.PartCleared != nil:
		r.Key = partKey(e.PartCleared.Part)
	case e.Presence != nil:
		r.Key = PresenceKey(e.Presence.Instance)
	}
	return r, nil
}

// Record encodes an entry into a record with a key. The record must not be appended
// again if the first append may have succeeded.
func (w *Writer) Record(e Entry) (fleet.Record, error) {
	r, err := w.Encode(e)
	if err == nil && r.Key == "" {
		r.Key = w.NextKey()
	}
	return r, err
}

// decode returns the entry of a record, or false if the record is malformed.
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
	// Claim is the offset of the current claim, or NoClaim, and Holder the name of its
	// writer.
	Claim  int64
	Holder string
	// FreeSince is when this process read that the item had no holder.
	FreeSince time.Time
	// Progress is what was released with the item. Saved is what a holder has saved
	// since, or nil; it is always ahead of Progress.
	Progress Progress
	Saved    *Save
	// Done is set once the item has a result.
	Done bool
}

// ResumeEvents returns the number of events after which a run of the item can resume.
func (i *Item) ResumeEvents() int {
	if i.Saved != nil {
		return i.Saved.Events
	}
	return i.Progress.Events
}

// Result is the result of an item. Its index in Job.Results is its position.
type Result struct {
	Item  string
	State fleet.ResultState
	Text  *TextRef
}

// Job is an accepted job with its items and results.
type Job struct {
	Accept *Accept
	// Acceptor is the name of the accept record's writer, Offset the record's offset.
	Acceptor string
	Offset   int64
	Ended    bool
	Items    []*Item
	Results  []Result
	// AcceptedAt is when the job was accepted, and ClosedAt when it was completed or
	// ended, as far as this process knows and by its monotonic clock. ClosedAt is zero
	// while the job is open.
	AcceptedAt time.Time
	ClosedAt   time.Time
	// KnownSince is when this process first read of the job, by its monotonic clock. The job is
	// at least that old, whatever the clocks of others say.
	KnownSince time.Time
	// recordKeys holds the keys of all records that refer to the job, textKeys those of
	// its outputs.
	recordKeys []string
	textKeys   []string
	// resultKeys holds, for each item with a result, the key of the record that brought it.
	resultKeys map[string]string
	// transientKeys are those of recordKeys whose records no longer matter once the job is
	// closed: claims, releases, saves, and results that came too late.
	transientKeys []string
}

// Compaction returns the records that delete from the log what no longer matters of a
// closed job, so that processes that start later do not read it.
func (j *Job) Compaction() []fleet.Record { return deletionsOf(j.transientKeys) }

// Compacted notes that the records of Compaction have been appended.
func (j *Job) Compacted() {
	transient := map[string]bool{}
	for _, key := range j.transientKeys {
		transient[key] = true
	}
	j.recordKeys = slices.DeleteFunc(j.recordKeys, func(key string) bool { return transient[key] })
	j.transientKeys = nil
}

// Deletions returns the records that delete the job: log deletes its records in the log
// and must be appended atomically, texts deletes its outputs.
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

// Open reports whether the job has not ended and has unfinished items.
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
