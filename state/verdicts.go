package state

import "github.com/sycamoretally/sycamoretally/protocol"

// maxChangeResults is the number of recent verdicts that a fold remembers.
const maxChangeResults = 4096

// ChangeResult is a fold's judgement of one record: Err is nil where the record took
// effect. It is not known for records that are too old or not yet folded.
type ChangeResult struct {
	Known bool
	// At is the position of the record.
	At  protocol.Position
	Err error
}

// changeResults remembers the verdicts on recent records by record ID and forgets
// the oldest.
type changeResults struct {
	limit int
	order []string
	byID  map[string]ChangeResult
}

func newChangeResults(limit int) *changeResults {
	return &changeResults{limit: limit, byID: map[string]ChangeResult{}}
}

func (v *changeResults) known(id string) bool {
	_, found := v.byID[id]
	return found
}

func (v *changeResults) get(id string) ChangeResult {
	return v.byID[id]
}

func (v *changeResults) add(id string, verdict ChangeResult) {
	v.byID[id] = verdict
	v.order = append(v.order, id)
	if len(v.order) > v.limit {
		delete(v.byID, v.order[0])
		v.order = v.order[1:]
	}
}
