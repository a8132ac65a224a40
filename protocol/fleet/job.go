package fleet

import "net/http"

// Item is one request of a job.
type Item struct {
	ID     string
	Path   string
	Header http.Header
	Body   []byte
	// Tokens is the sum of the prompt's tokens and the most tokens of the answer.
	Tokens int64
}

// Job is a batch job as a caller submits it.
type Job struct {
	ID    string
	Host  string
	Items []Item
}

// ResultState is how an item ended.
type ResultState int

// The states of a result.
const (
	// ResultCompleted has the whole output.
	ResultCompleted ResultState = iota
	// ResultDeadLetter will never have one.
	ResultDeadLetter
)

// Result is the end of an item.
type Result struct {
	Item  string
	State ResultState
	Text  string
}

// ResultPage is a run of a job's results.
type ResultPage struct {
	// Total is the number of the job's items.
	Total int
	// Next is the position after the last result.
	Next    int
	Results []Result
}
