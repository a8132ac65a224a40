package state

import "github.com/sycamoretally/sycamoretally/protocol"

// maxVerdicts is the number of recent verdicts that a fold remembers.
const maxVerdicts = 4096

// Verdict is a fold's judgement of one record: Err is nil where the record took
// effect. It is not known for records that are too old or not yet folded.
type Verdict struct {
	Known bool
	// At is the position of the record.
	At  protocol.Position
	Err error
}

// verdicts remembers the verdicts on recent records by record ID and forgets
// the oldest.
type verdicts struct {
	limit int
	order []string
	byID  map[string]Verdict
}

func newVerdicts(limit int) *verdicts {
	return &verdicts{limit: limit, byID: map[string]Verdict{}}
}

func (v *verdicts) known(id string) bool {
	_, found := v.byID[id]
	return found
}

func (v *verdicts) get(id string) Verdict {
	return v.byID[id]
}

func (v *verdicts) add(id string, verdict Verdict) {
	v.byID[id] = verdict
	v.order = append(v.order, id)
	if len(v.order) > v.limit {
		delete(v.byID, v.order[0])
		v.order = v.order[1:]
	}
}
