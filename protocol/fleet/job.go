package fleet

import "net/http"

// Item is one request of a job.
type Item struct {
	ID     string
	Path   string
	Header http.Header
	Body   []byte
	// Tokens is the number of prompt tokens plus the maximum number of answer tokens.
	Tokens int64
}

// Job is a batch job as a caller submits it.
type Job struct {
	ID    string
	Host  string
	Items []Item
}

// ResultState is the final state of an item.
type ResultState int

// The states of a result.
const (
	// ResultCompleted means that the result has the complete output.
	ResultCompleted ResultState = iota
	// ResultDeadLetter means that the item will never have an output.
	ResultDeadLetter
)

// Result is the result of an item.
type Result struct {
	Item  string
	State ResultState
	Text  string
}

// ResultPage is a range of a job's results.
type ResultPage struct {
	// Total is the number of the job's items.
	Total int
	// Next is the position after the last result.
	Next    int
	Results []Result
}
