package protocol

import "github.com/vmihailenco/msgpack/v5"

// SnapshotPart is the encoded state of one fold.
type SnapshotPart struct {
	Name string `msgpack:"n"`
	Data []byte `msgpack:"d"`
}

// Snapshot is the state of every fold of one stream after all entries before
// the offset Next.
type Snapshot struct {
	Next  uint64         `msgpack:"o"`
	Parts []SnapshotPart `msgpack:"p"`
}

// Encode encodes the snapshot. The encoding of equal snapshots is equal.
func (s *Snapshot) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(s)
	if err != nil {
		return nil, ErrInternal.Wrap(err, "encode snapshot")
	}
	return data, nil
}

// DecodeSnapshot decodes a snapshot whose content hash is sum. It fails with
// ErrTruncated if the hash differs, and with ErrBadRequest on malformed data.
func DecodeSnapshot(data []byte, sum string) (*Snapshot, error) {
	if Fingerprint(data) != sum {
		return nil, ErrTruncated.New("snapshot of %d bytes does not match its content hash", len(data))
	}
	if err := checkEncoding(data); err != nil {
		return nil, err
	}
	var s Snapshot
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return nil, ErrBadRequest.Wrap(err, "decode snapshot")
	}
	return &s, nil
}

// SnapshotChunk is one chunk of an encoded snapshot in the log.
type SnapshotChunk struct {
	// Snapshot is the snapshot's ID, the same in all of its chunks.
	Snapshot string `msgpack:"s"`
	// Next is the first offset that the snapshot does not cover.
	Next   uint64 `msgpack:"o"`
	Index  int    `msgpack:"i"`
	Chunks int    `msgpack:"n"`
	// Sum is the content hash of the whole encoding.
	Sum string `msgpack:"h"`
	// UnixMillis is when the snapshot was taken, in milliseconds since the epoch.
	UnixMillis int64  `msgpack:"t"`
	Data       []byte `msgpack:"d"`
}

// Carry repeats a record whose log entry is about to expire. The record's body is
// then read from the newest Carry of the original position. No other state changes.
type Carry struct {
	Original Position `msgpack:"p"`
	Record   *Record  `msgpack:"r"`
}

// Forget removes finished requests and jobs that last changed before a position.
type Forget struct {
	Before Position `msgpack:"b"`
	// Expired is the oldest offset that the log still retained.
	Expired uint64 `msgpack:"e"`
}

// BodySize returns the size of the record's large members in bytes.
func (r *Record) BodySize() int {
	size := 0
	switch {
	case r.Accept != nil:
		size = len(r.Accept.Call.Body)
	case r.Complete != nil:
		size = len(r.Complete.Result.Body)
	case r.File != nil:
		for _, i := range r.File.Items {
			size += len(i.Body)
		}
	case r.Items != nil:
		for _, i := range r.Items.Items {
			size += len(i.Result.Body)
		}
	case r.Snapshot != nil:
		size = len(r.Snapshot.Data)
	case r.Carry != nil && r.Carry.Record != nil:
		size = r.Carry.Record.BodySize()
	}
	return size
}
