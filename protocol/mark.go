package protocol

import (
	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// OmitKnownTargets sets the mark of a reply and leaves out its targets where the asking
// process has them already. Equal reports have equal marks; none has mark zero.
func (r *ReportReply) OmitKnownTargets(known uint64) {
	hash := xxhash.New()
	encoder := msgpack.NewEncoder(hash)
	encoder.SetSortMapKeys(true)
	if encoder.EncodeMulti(r.Leaving, r.Targets) != nil {
		return
	}
	r.Mark = max(1, hash.Sum64())
	if r.Mark == known {
		r.Targets = nil
	}
}
