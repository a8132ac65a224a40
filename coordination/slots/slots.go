// Package slots decides which work a target runs: online work first, batch work
// only in spare slots, which it gives back when online work arrives. It is a
// state machine without I/O: each input returns what its caller must do.
package slots

import "slices"

// Params are the properties of a target's slots.
type Params struct {
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Reserve is the number of slots that batch work leaves free.
	Reserve int
	// Queue is the number of online requests that may wait for a slot.
	Queue int
}

// Decision is the answer to an arrival.
type Decision int

// The decisions.
const (
	// Run admits the work at once.
	Run Decision = iota
	// Wait queues online work; a later Effects names it in Start.
	Wait
	// Refuse turns the work away: there is no slot and no place to wait.
	Refuse
)

// Effects is what the caller must do after an input.
type Effects struct {
	// Start lists waiting work that now holds a slot.
	Start []string
	// Preempt lists running batch work to stop; each must end with Done.
	Preempt []string
}

// Slots is the state of one target's slots. It is not safe for concurrent use.
type Slots struct {
	params Params
	online map[string]bool
	batch  []string
	// stopping holds batch work that was told to stop and has not yet ended.
	stopping map[string]bool
	// lost holds work that was told to stop and goes on at the target.
	lost    map[string]bool
	waiting []string
}

// New returns slots that are all free.
func New(p Params) *Slots {
	return &Slots{params: p, online: map[string]bool{}, stopping: map[string]bool{}, lost: map[string]bool{}}
}

// Has reports whether the work holds a slot or a place in the queue.
func (s *Slots) Has(id string) bool {
	return s.online[id] || s.lost[id] || slices.Contains(s.batch, id) || slices.Contains(s.waiting, id)
}

// ArriveOnline asks for a slot for online work. An ID that is here already is
// refused.
func (s *Slots) ArriveOnline(id string) (Decision, Effects) {
	if s.Has(id) {
		return Refuse, Effects{}
	}
	if s.free() > 0 && len(s.waiting) == 0 {
		s.online[id] = true
		return Run, Effects{}
	}
	if len(s.waiting) >= s.params.Queue+len(s.batch) {
		return Refuse, Effects{}
	}
	s.waiting = append(s.waiting, id)
	return Wait, Effects{Preempt: s.preempt()}
}

// ArriveBatch asks for a slot for batch work, which never waits. An ID that is
// here already is refused.
func (s *Slots) ArriveBatch(id string) Decision {
	if s.Spare() <= 0 || s.Has(id) {
		return Refuse
	}
	s.batch = append(s.batch, id)
	return Run
}

// Done gives back what the work holds: a slot, lost or not, or a place in the
// queue.
func (s *Slots) Done(id string) Effects {
	s.forget(id)
	delete(s.lost, id)
	return s.settle()
}

// Lose records that work which should have stopped goes on at the target: its
// slot stays taken until Done, and other batch work stops in its place.
func (s *Slots) Lose(id string) Effects {
	if !s.online[id] && !slices.Contains(s.batch, id) {
		return Effects{}
	}
	s.forget(id)
	s.lost[id] = true
	return s.settle()
}

func (s *Slots) forget(id string) {
	delete(s.online, id)
	delete(s.stopping, id)
	s.batch = remove(s.batch, id)
	s.waiting = remove(s.waiting, id)
}

// settle starts waiting work in free slots and preempts for the rest.
func (s *Slots) settle() Effects {
	var e Effects
	for s.free() > 0 && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.online[next] = true
		e.Start = append(e.Start, next)
	}
	e.Preempt = s.preempt()
	return e
}

// Spare returns the number of slots open to batch work.
func (s *Slots) Spare() int {
	if len(s.waiting) > 0 {
		return 0
	}
	return max(0, s.free()-s.params.Reserve)
}

// Counts returns the numbers of running online, running batch and waiting work.
func (s *Slots) Counts() (online, batch, waiting int) {
	return len(s.online), len(s.batch), len(s.waiting)
}

// Lost returns the number of slots whose work does not stop.
func (s *Slots) Lost() int { return len(s.lost) }

func (s *Slots) free() int {
	return s.params.Slots - len(s.online) - len(s.batch) - len(s.lost)
}

// preempt picks the batch work that must stop, youngest first, so that as much
// is stopping as online work is waiting.
func (s *Slots) preempt() []string {
	var stop []string
	for i := len(s.batch) - 1; i >= 0 && len(s.stopping) < len(s.waiting); i-- {
		id := s.batch[i]
		if s.stopping[id] {
			continue
		}
		s.stopping[id] = true
		stop = append(stop, id)
	}
	return stop
}

func remove(ids []string, id string) []string {
	if i := slices.Index(ids, id); i >= 0 {
		return slices.Delete(ids, i, i+1)
	}
	return ids
}
