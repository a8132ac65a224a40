package state

import "github.com/sycamoretally/sycamoretally/protocol"

// maxChangeResults is the number of recent results that a fold keeps.
const maxChangeResults = 4096

// ChangeResult is the result of applying one change record: Err is nil if the change
// took effect. Known is false for records that are too old or not yet applied.
type ChangeResult struct {
	Known bool
	// At is the position of the record.
	At  protocol.Position
	Err error
}

// changeResults holds the results of recent records by record ID and drops the
// oldest beyond the limit.
type changeResults struct {
	limit int
	order []string
	byID  map[string]ChangeResult
}

func newChangeResults(limit int) *changeResults {
	return &changeResults{limit: limit, byID: map[string]ChangeResult{}}
}

func (r *changeResults) known(id string) bool {
	_, found := r.byID[id]
	return found
}

func (r *changeResults) get(id string) ChangeResult {
	return r.byID[id]
}

func (r *changeResults) add(id string, result ChangeResult) {
	r.byID[id] = result
	r.order = append(r.order, id)
	if len(r.order) > r.limit {
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
}
