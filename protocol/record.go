package protocol

import (
	"github.com/vmihailenco/msgpack/v5"
)

// Names of the log's streams.
const (
	// StreamConfig carries configuration; every process folds it.
	StreamConfig = "config"
	// StreamWork carries requests and jobs; entries fold it.
	StreamWork = "work"
)

// Record is one record of the log. Exactly one member beside ID is set.
// Folds apply records in order of position, and applying the same record at
// two positions has the effect of the first alone.
type Record struct {
	// ID is unique to the record and the same in every append that retries it.
	ID string `msgpack:"i"`
	// Clock is the hybrid logical time at which its process made the record, for
	// the time line alone.
	Clock uint64 `msgpack:"hc,omitempty"`

	Change   *Change          `msgpack:"cc,omitempty"`
	Accept   *RequestAccept   `msgpack:"ra,omitempty"`
	Start    *RequestStart    `msgpack:"rs,omitempty"`
	Void     *RequestVoid     `msgpack:"rv,omitempty"`
	Release  *RequestRelease  `msgpack:"rr,omitempty"`
	Complete *RequestComplete `msgpack:"rc,omitempty"`
	File     *FileChunk       `msgpack:"jf,omitempty"`
	Job      *JobAccept       `msgpack:"ja,omitempty"`
	Items    *ItemResults     `msgpack:"ji,omitempty"`
	Cancel   *JobCancel       `msgpack:"jc,omitempty"`
	Snapshot *SnapshotChunk   `msgpack:"sn,omitempty"`
	Carry    *Carry           `msgpack:"sc,omitempty"`
	Forget   *Forget          `msgpack:"sf,omitempty"`

	Crash   *TargetCrash  `msgpack:"qc,omitempty"`
	Trial   *SuspectTrial `msgpack:"qt,omitempty"`
	TrialOf *TrialEnd     `msgpack:"qe,omitempty"`
	Elapsed *Elapsed      `msgpack:"qd,omitempty"`

	Hello  *TargetRegistration `msgpack:"th,omitempty"`
	Claim  *LoadClaim          `msgpack:"lc,omitempty"`
	Renew  *LoadRenew          `msgpack:"lr,omitempty"`
	Load   *LoadEnd            `msgpack:"le,omitempty"`
	Revoke *LoadRevoke         `msgpack:"lv,omitempty"`
}

// Change sets or deletes configuration objects, all or none.
type Change struct {
	// By names the operator.
	By string `msgpack:"b"`
	// UnixMillis is when the entry took the change, in milliseconds since the
	// epoch, by its own clock. It is shown to operators and decides nothing.
	UnixMillis int64    `msgpack:"t,omitempty"`
	Objects    []Object `msgpack:"o"`
}

// RequestAccept makes an asynchronous request durable before its receipt.
type RequestAccept struct {
	Key string `msgpack:"k"`
	// Entry is the instance that took the request and runs it.
	Entry string `msgpack:"e"`
	Call  Call   `msgpack:"c"`
}

// RequestStart claims the one permitted execution of a non-idempotent request.
type RequestStart struct {
	Key         string `msgpack:"k"`
	Attempt     string `msgpack:"a"`
	Holder      string `msgpack:"h"`
	Fingerprint string `msgpack:"f"`
}

// RequestVoid gives up an attempt on behalf of a process that does not execute
// it. It has no effect after the attempt's start.
type RequestVoid struct {
	Key     string `msgpack:"k"`
	Attempt string `msgpack:"a"`
}

// RequestRelease is the holder's statement that the attempt has not run and
// never will. It undoes the holder's own start.
type RequestRelease struct {
	Key     string `msgpack:"k"`
	Attempt string `msgpack:"a"`
	Holder  string `msgpack:"h"`
}

// RequestComplete stores the result of a request. The first one for a key wins.
type RequestComplete struct {
	Key         string `msgpack:"k"`
	Attempt     string `msgpack:"a"`
	Fingerprint string `msgpack:"f"`
	Result      Result `msgpack:"r"`
}

// Result is the stored answer of a request.
type Result struct {
	Outcome     Outcome `msgpack:"o" json:"outcome"`
	Status      int     `msgpack:"s" json:"status"`
	ContentType string  `msgpack:"c" json:"content_type"`
	Body        []byte  `msgpack:"b" json:"body"`
}

// MaxFileChunks bounds the chunks of one batch file.
const MaxFileChunks = 1 << 17

// FileChunk stores consecutive lines of an uploaded batch file.
type FileChunk struct {
	// File names the file, or the upload where the last chunk has a Content.
	File      string `msgpack:"f"`
	Workspace string `msgpack:"w"`
	// Service is the model service that every line names.
	Service string `msgpack:"s"`
	Index   int    `msgpack:"i"`
	// Chunks is the number of chunks of the whole file, zero where it is not
	// known yet. The last chunk has it.
	Chunks int `msgpack:"n"`
	// Content becomes the file's name once the file is complete. The first
	// complete file of a name stays.
	Content string `msgpack:"c,omitempty"`
	Items   []Item `msgpack:"l"`
}

// Item is one line of a batch file.
type Item struct {
	CustomID string `msgpack:"c"`
	Body     []byte `msgpack:"b"`
}

// JobAccept accepts a job over an uploaded file.
type JobAccept struct {
	Job       string `msgpack:"j"`
	Workspace string `msgpack:"w"`
	Service   string `msgpack:"s"`
	File      string `msgpack:"f"`
	// DueUnixMillis is when the job is due, in milliseconds since the epoch.
	DueUnixMillis int64 `msgpack:"d"`
}

// ItemResults stores results of items of one job. The first result of an item wins.
type ItemResults struct {
	Job   string       `msgpack:"j"`
	Items []ItemResult `msgpack:"i"`
}

// ItemResult is the result of the item at Index of the job's file.
type ItemResult struct {
	Index    int    `msgpack:"i"`
	CustomID string `msgpack:"c"`
	Result   Result `msgpack:"r"`
}

// JobCancel stops a job. It has no effect on a job that is finished.
type JobCancel struct {
	Job string `msgpack:"j"`
}

// EncodeBatch encodes records for one log entry. It fails with ErrTooLarge
// above MaxBatchRecords.
func EncodeBatch(records []Record) ([]byte, error) {
	if len(records) > MaxBatchRecords {
		return nil, ErrTooLarge.New("batch of %d records, at most %d", len(records), MaxBatchRecords)
	}
	data, err := msgpack.Marshal(records)
	if err != nil {
		return nil, ErrInternal.Wrap(err, "encode batch")
	}
	return data, nil
}

// DecodeBatch decodes a log entry. It fails with ErrBadRequest on malformed data.
func DecodeBatch(data []byte) ([]Record, error) {
	if err := checkEncoding(data); err != nil {
		return nil, err
	}
	var records []Record
	if err := msgpack.Unmarshal(data, &records); err != nil {
		return nil, ErrBadRequest.Wrap(err, "decode batch")
	}
	if len(records) > MaxBatchRecords {
		return nil, ErrBadRequest.New("entry of %d records, at most %d", len(records), MaxBatchRecords)
	}
	return records, nil
}
