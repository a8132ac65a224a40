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
	// LongSlots is the number of slots that long work keeps when short work needs
	// them; zero stands for all of them.
	LongSlots int
	// NoPreemption lets batch work finish when online work waits.
	NoPreemption bool
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
	// Move lists running long work to go on at another target; each must end here
	// with Done.
	Move []string
}

// Slots is the state of one target's slots. It is not safe for concurrent use.
type Slots struct {
	params Params
	online map[string]bool
	batch  []string
	// long holds the online work, running or waiting, that is expected to take
	// much longer than the rest, in order of arrival.
	long []string
	// stopping holds work that was told to stop and has not yet ended.
	stopping map[string]bool
	// lost holds work that was told to stop and goes on at the target.
	lost    map[string]bool
	waiting []string
	// queueLimit bounds the online work that waits, below the parameter Queue.
	queueLimit int
}

// New returns slots that are all free.
func New(p Params) *Slots {
	if p.LongSlots == 0 {
		p.LongSlots = p.Slots
	}
	return &Slots{params: p, queueLimit: p.Queue, online: map[string]bool{}, stopping: map[string]bool{}, lost: map[string]bool{}}
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
	if s.freeSlots() > 0 && len(s.waiting) == 0 {
		s.online[id] = true
		return Run, Effects{}
	}
	if len(s.waiting) >= min(s.queueLimit, s.params.Queue)+s.preemptibleSlots() {
		return Refuse, Effects{}
	}
	s.waiting = append(s.waiting, id)
	return Wait, Effects{Preempt: s.choosePreempted(), Move: s.chooseMoved()}
}

// ArriveLong asks for a slot for online work that is expected to take much longer
// than the rest and that can go on at another target. It takes any free slot;
// short work gets the slots beyond LongSlots back.
func (s *Slots) ArriveLong(id string) (Decision, Effects) {
	if s.Has(id) {
		return Refuse, Effects{}
	}
	s.long = append(s.long, id)
	decision, effects := s.ArriveOnline(id)
	if decision == Refuse {
		s.long = remove(s.long, id)
	}
	return decision, effects
}

// WouldWait reports whether online work that arrives now would wait for a slot
// that nothing gives back for it: neither batch work nor, for short work, long
// work beyond its slots.
func (s *Slots) WouldWait(long bool) bool {
	given := s.freeSlots() + s.preemptibleSlots()
	if !long {
		given += max(0, len(s.runningLong())-s.params.LongSlots)
	}
	return given <= len(s.waiting)
}

// SetQueueLimit bounds the online work that waits where no batch work gives its
// slot back, below the parameter Queue.
func (s *Slots) SetQueueLimit(limit int) { s.queueLimit = limit }

// preemptibleSlots returns the number of slots that batch work gives back.
func (s *Slots) preemptibleSlots() int {
	if s.params.NoPreemption {
		return 0
	}
	return len(s.batch)
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

// Release gives back what the work holds: a slot, lost or not, or a place in the
// queue.
func (s *Slots) Release(id string) Effects {
	s.removeWork(id)
	delete(s.lost, id)
	return s.schedule()
}

// MarkLost records that work which should have stopped goes on at the target: its
// slot stays taken until Done, and other batch work stops in its place.
func (s *Slots) MarkLost(id string) Effects {
	if !s.online[id] && !slices.Contains(s.batch, id) {
		return Effects{}
	}
	s.removeWork(id)
	s.lost[id] = true
	return s.schedule()
}

func (s *Slots) removeWork(id string) {
	delete(s.online, id)
	delete(s.stopping, id)
	s.batch = remove(s.batch, id)
	s.long = remove(s.long, id)
	s.waiting = remove(s.waiting, id)
}

// schedule starts waiting work in free slots and preempts for the rest.
func (s *Slots) schedule() Effects {
	var e Effects
	for s.freeSlots() > 0 && len(s.waiting) > 0 {
		next := s.nextWaiting()
		s.waiting = remove(s.waiting, next)
		s.online[next] = true
		e.Start = append(e.Start, next)
	}
	e.Preempt = s.choosePreempted()
	e.Move = s.chooseMoved()
	return e
}

// nextWaiting returns the waiting work whose turn it is: the first, but that long work
// lets short work pass while it has its slots.
func (s *Slots) nextWaiting() string {
	full := len(s.runningLong()) >= s.params.LongSlots
	for _, id := range s.waiting {
		if !full || !slices.Contains(s.long, id) {
			return id
		}
	}
	return s.waiting[0]
}

// runningLong returns the long work that runs and was not told to stop, in order
// of arrival.
func (s *Slots) runningLong() []string {
	var running []string
	for _, id := range s.long {
		if s.online[id] && !s.stopping[id] {
			running = append(running, id)
		}
	}
	return running
}

// chooseMoved picks the long work that must go on elsewhere, youngest first: as much as
// short work waits for beyond what is stopping already, and never below
// LongSlots.
func (s *Slots) chooseMoved() []string {
	short := 0
	for _, id := range s.waiting {
		if !slices.Contains(s.long, id) {
			short++
		}
	}
	var moved []string
	running := s.runningLong()
	for i := len(running) - 1; i >= s.params.LongSlots && len(s.stopping) < short; i-- {
		s.stopping[running[i]] = true
		moved = append(moved, running[i])
	}
	return moved
}

// Spare returns the number of slots open to batch work.
func (s *Slots) Spare() int {
	if len(s.waiting) > 0 {
		return 0
	}
	return max(0, s.freeSlots()-s.params.Reserve)
}

// Counts returns the numbers of running online, running batch and waiting work.
func (s *Slots) Counts() (online, batch, waiting int) {
	return len(s.online), len(s.batch), len(s.waiting)
}

// Lost returns the number of slots whose work does not stop.
func (s *Slots) Lost() int { return len(s.lost) }

func (s *Slots) freeSlots() int {
	return s.params.Slots - len(s.online) - len(s.batch) - len(s.lost)
}

// choosePreempted picks the batch work that must stop, youngest first, so that as much
// is stopping as online work is waiting.
func (s *Slots) choosePreempted() []string {
	if s.params.NoPreemption {
		return nil
	}
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
