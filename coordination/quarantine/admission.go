package quarantine

import "slices"

// AdmissionQueue admits work to one target in order of arrival: ordinary work
// concurrently, a suspect exclusively. Work queued behind a suspect waits too, so that no
// work starves. It is not safe for concurrent use.
type AdmissionQueue struct {
	admitted  map[string]bool
	exclusive bool
	waiting   []waiter
}

type waiter struct {
	id        string
	exclusive bool
}

// NewAdmissionQueue returns an empty queue.
func NewAdmissionQueue() *AdmissionQueue { return &AdmissionQueue{admitted: map[string]bool{}} }

// Enqueue queues work and returns the IDs that are admitted as a result.
func (q *AdmissionQueue) Enqueue(id string, exclusive bool) []string {
	q.waiting = append(q.waiting, waiter{id, exclusive})
	return q.admit()
}

// Remove removes admitted or queued work and returns the IDs that are admitted as a
// result.
func (q *AdmissionQueue) Remove(id string) []string {
	if q.admitted[id] {
		delete(q.admitted, id)
		q.exclusive = false
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiter) bool { return w.id == id })
	return q.admit()
}

func (q *AdmissionQueue) admit() []string {
	var admitted []string
	for len(q.waiting) > 0 {
		next := q.waiting[0]
		if q.exclusive || next.exclusive && len(q.admitted) > 0 {
			break
		}
		q.waiting = q.waiting[1:]
		q.admitted[next.id] = true
		q.exclusive = next.exclusive
		admitted = append(admitted, next.id)
	}
	return admitted
}
