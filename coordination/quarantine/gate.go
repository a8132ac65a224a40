package quarantine

import "slices"

// Gate admits work to one target in order of arrival: ordinary work together, a
// suspect alone. Work behind a waiting suspect waits too, so that none starves.
// It is not safe for concurrent use.
type Gate struct {
	inside  map[string]bool
	alone   bool
	waiting []arrival
}

type arrival struct {
	id    string
	alone bool
}

// NewGate returns a gate with nothing inside.
func NewGate() *Gate { return &Gate{inside: map[string]bool{}} }

// Arrive asks for admission and returns all work that is admitted by it.
func (g *Gate) Arrive(id string, alone bool) []string {
	g.waiting = append(g.waiting, arrival{id, alone})
	return g.admit()
}

// Leave takes work out, inside or waiting, and returns what is admitted by it.
func (g *Gate) Leave(id string) []string {
	if g.inside[id] {
		delete(g.inside, id)
		g.alone = false
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(a arrival) bool { return a.id == id })
	return g.admit()
}

func (g *Gate) admit() []string {
	var admitted []string
	for len(g.waiting) > 0 {
		next := g.waiting[0]
		if g.alone || next.alone && len(g.inside) > 0 {
			break
		}
		g.waiting = g.waiting[1:]
		g.inside[next.id] = true
		g.alone = next.alone
		admitted = append(admitted, next.id)
	}
	return admitted
}
