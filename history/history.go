// Package history records what concurrent callers and operators asked and got,
// and checks the record: against sequential models with porcupine, and with
// counting checks. Each model and check has a file of its own.
package history

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// ErrHistory is the type of every violation found.
var ErrHistory = protocol.Errors.NewType("history")

// CheckTimeout bounds the search for a legal order of one history.
const CheckTimeout = 30 * time.Second

// Recorder collects operations. Its methods may be called at the same time.
type Recorder struct {
	start time.Time

	mu  sync.Mutex
	ops []*Operation
}

// Operation is one recorded operation.
type Operation struct {
	recorder *Recorder
	client   int
	input    any
	output   any
	call     int64
	// returned is zero while the operation is in progress.
	returned int64
}

// NewRecorder returns a recorder without operations.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

func (r *Recorder) now() int64 { return int64(time.Since(r.start)) + 1 }

// Invoke records the beginning of an operation by a client.
func (r *Recorder) Invoke(client int, input any) *Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	op := &Operation{recorder: r, client: client, input: input, call: r.now()}
	r.ops = append(r.ops, op)
	return op
}

// Return records the end of the operation and its output.
func (o *Operation) Return(output any) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	o.output = output
	o.returned = o.recorder.now()
}

// Operations returns the history for porcupine. An operation that has not
// returned gets the output open and the end of the history as its end.
func (r *Recorder) Operations(open any) []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.now()
	ops := make([]porcupine.Operation, 0, len(r.ops))
	for _, o := range r.ops {
		op := porcupine.Operation{ClientId: o.client, Input: o.input, Output: o.output, Call: o.call, Return: o.returned}
		if o.returned == 0 {
			op.Output, op.Return = open, end
		}
		ops = append(ops, op)
	}
	return ops
}

// Check searches for an order of the operations that the model allows. It fails
// with ErrHistory where there is none or the search takes too long.
func Check(model porcupine.Model, ops []porcupine.Operation) error {
	switch porcupine.CheckOperationsTimeout(model, ops, CheckTimeout) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return ErrHistory.New("no verdict on %d operations within %v", len(ops), CheckTimeout)
	default:
		return ErrHistory.New("no legal order of %d operations", len(ops))
	}
}

// partitionBy returns a function that groups operations by a key of their input,
// in the order in which the keys appear.
func partitionBy(keyOf func(input any) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(ops []porcupine.Operation) [][]porcupine.Operation {
		index := map[string]int{}
		var parts [][]porcupine.Operation
		for _, op := range ops {
			key := keyOf(op.Input)
			at, known := index[key]
			if !known {
				at = len(parts)
				index[key] = at
				parts = append(parts, nil)
			}
			parts[at] = append(parts[at], op)
		}
		return parts
	}
}
