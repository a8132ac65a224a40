package quarantine

import "slices"

// AdmissionQueue admits work to one target in order of arrival: ordinary work together, a
// suspect alone. Work behind a waiting suspect waits too, so that none starves.
// It is not safe for concurrent use.
type AdmissionQueue struct {
	admitted  map[string]bool
	exclusive bool
	waiting   []waiter
}

type waiter struct {
	id        string
	exclusive bool
}

// NewAdmissionQueue returns a gate with nothing inside.
func NewAdmissionQueue() *AdmissionQueue { return &AdmissionQueue{admitted: map[string]bool{}} }

// Enqueue asks for admission and returns all work that is admitted by it.
func (g *AdmissionQueue) Enqueue(id string, alone bool) []string {
	g.waiting = append(g.waiting, waiter{id, alone})
	return g.admit()
}

// Remove takes work out, inside or waiting, and returns what is admitted by it.
func (g *AdmissionQueue) Remove(id string) []string {
	if g.admitted[id] {
		delete(g.admitted, id)
		g.exclusive = false
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(a waiter) bool { return a.id == id })
	return g.admit()
}

func (g *AdmissionQueue) admit() []string {
	var admitted []string
	for len(g.waiting) > 0 {
		next := g.waiting[0]
		if g.exclusive || next.exclusive && len(g.admitted) > 0 {
			break
		}
		g.waiting = g.waiting[1:]
		g.admitted[next.id] = true
		g.exclusive = next.exclusive
		admitted = append(admitted, next.id)
	}
	return admitted
}
