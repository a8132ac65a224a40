package state

// maxVerdicts is the number of recent verdicts that a fold remembers.
const maxVerdicts = 4096

// Verdict is a fold's judgement of one record: Err is nil where the record took
// effect. It is not known for records that are too old or not yet folded.
type Verdict struct {
	Known bool
	Err   error
}

// verdicts remembers the verdicts on recent records by record ID and forgets
// the oldest.
type verdicts struct {
	limit int
	order []string
	byID  map[string]error
}

func newVerdicts(limit int) *verdicts {
	return &verdicts{limit: limit, byID: map[string]error{}}
}

func (v *verdicts) known(id string) bool {
	_, found := v.byID[id]
	return found
}

func (v *verdicts) get(id string) Verdict {
	err, found := v.byID[id]
	return Verdict{Known: found, Err: err}
}

func (v *verdicts) add(id string, err error) {
	v.byID[id] = err
	v.order = append(v.order, id)
	if len(v.order) > v.limit {
		delete(v.byID, v.order[0])
		v.order = v.order[1:]
	}
}
