// Package slots decides which work a target runs: online work first, and batch work
// only in spare slots, where it is preempted when online work arrives. It is a state
// machine without I/O: each input returns what the caller must do.
package slots

import "slices"

// Params are the parameters of a target's slots.
type Params struct {
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Reserve is the number of free slots that batch work may not use.
	Reserve int
	// Queue is the number of online requests that may wait for a slot, in addition to
	// one for each slot of batch work that can be preempted.
	Queue int
	// LongSlots is the number of slots that long work keeps when short work is
	// waiting; zero means all of them.
	LongSlots int
	// NoPreemption lets batch work finish while online work waits.
	NoPreemption bool
}

// Decision is the answer to an arrival.
type Decision int

// The decisions.
const (
	// Run admits the work at once.
	Run Decision = iota
	// Wait queues online work. It is listed in the Start of later Effects.
	Wait
	// Refuse rejects the work: there is no slot for it and no room in the queue.
	Refuse
)

// Effects is what the caller must do after an input.
type Effects struct {
	// Start lists waiting work that now holds a slot.
	Start []string
	// Preempt lists running batch work to stop. Each must be passed to Release once
	// it has stopped.
	Preempt []string
	// Move lists running long work to stop here and continue at another target. Each
	// must be passed to Release once it has stopped.
	Move []string
}

// Slots is the state of one target's slots. It is not safe for concurrent use.
type Slots struct {
	params Params
	online map[string]bool
	batch  []string
	// long holds the online work, running or waiting, that is expected to take much
	// longer than the rest, in order of arrival.
	long []string
	// stopping holds work that was told to stop and has not been released yet.
	stopping map[string]bool
	// lost holds work that was told to stop but continues at the target.
	lost    map[string]bool
	waiting []string
	// queueLimit limits the waiting online work further than Params.Queue.
	queueLimit int
}

// New returns Slots that are all free.
func New(p Params) *Slots {
	if p.LongSlots == 0 {
		p.LongSlots = p.Slots
	}
	return &Slots{params: p, queueLimit: p.Queue, online: map[string]bool{}, stopping: map[string]bool{}, lost: map[string]bool{}}
}

// Has reports whether the work holds a slot or waits in the queue.
func (s *Slots) Has(id string) bool {
	return s.online[id] || s.lost[id] || slices.Contains(s.batch, id) || slices.Contains(s.waiting, id)
}

// ArriveOnline requests a slot for online work. An ID that holds a slot or waits
// already is refused.
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

// ArriveLong requests a slot for online work that is expected to take much longer
// than the rest and that can continue at another target. It may take any free slot,
// but must leave the slots beyond LongSlots when short work waits.
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

// WouldWait reports whether online work that arrives now would have to wait until
// other work ends by itself: there is neither a free slot for it, nor batch work to
// preempt, nor, if it is short, long work beyond LongSlots to move.
func (s *Slots) WouldWait(long bool) bool {
	available := s.freeSlots() + s.preemptibleSlots()
	if !long {
		available += max(0, len(s.runningLong())-s.params.LongSlots)
	}
	return available <= len(s.waiting)
}

// SetQueueLimit limits the waiting online work further than Params.Queue. Work that
// waits for batch work to be preempted does not count.
func (s *Slots) SetQueueLimit(limit int) { s.queueLimit = limit }

// preemptibleSlots returns the number of slots that are held by batch work that may
// be preempted.
func (s *Slots) preemptibleSlots() int {
	if s.params.NoPreemption {
		return 0
	}
	return len(s.batch)
}

// ArriveBatch requests a slot for batch work, which never waits. An ID that holds a
// slot or waits already is refused.
func (s *Slots) ArriveBatch(id string) Decision {
	if s.Spare() <= 0 || s.Has(id) {
		return Refuse
	}
	s.batch = append(s.batch, id)
	return Run
}

// Release releases what the work holds: a slot, lost or not, or its place in the
// queue.
func (s *Slots) Release(id string) Effects {
	s.removeWork(id)
	delete(s.lost, id)
	return s.schedule()
}

// MarkLost records that work that should have stopped continues at the target: its
// slot stays taken until Release, and other batch work is preempted in its place.
func (s *Slots) MarkLost(id string) Effects {
	if !s.online[id] && !slices.Contains(s.batch, id) {
		return Effects{}
	}
	s.removeWork(id)
	s.lost[id] = true
	return s.schedule()
}

// removeWork removes the work from everything but lost.
func (s *Slots) removeWork(id string) {
	delete(s.online, id)
	delete(s.stopping, id)
	s.batch = remove(s.batch, id)
	s.long = remove(s.long, id)
	s.waiting = remove(s.waiting, id)
}

// schedule starts waiting work in the free slots, and preempts or moves other work
// for the rest.
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

// nextWaiting returns the waiting work to start next: the first in the queue, but
// short work before long work while LongSlots slots are held by long work.
func (s *Slots) nextWaiting() string {
	full := len(s.runningLong()) >= s.params.LongSlots
	for _, id := range s.waiting {
		if !full || !slices.Contains(s.long, id) {
			return id
		}
	}
	return s.waiting[0]
}

// runningLong returns the running long work that was not told to stop, in order of
// arrival.
func (s *Slots) runningLong() []string {
	var running []string
	for _, id := range s.long {
		if s.online[id] && !s.stopping[id] {
			running = append(running, id)
		}
	}
	return running
}

// chooseMoved chooses the long work that must continue at another target, youngest
// first, and marks it as stopping. It chooses one for each waiting short request for
// which nothing is stopping yet, and leaves at least LongSlots of them running.
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

// Spare returns the number of slots available to batch work.
func (s *Slots) Spare() int {
	if len(s.waiting) > 0 {
		return 0
	}
	return max(0, s.freeSlots()-s.params.Reserve)
}

// Counts returns the numbers of running online, running batch and waiting requests.
func (s *Slots) Counts() (online, batch, waiting int) {
	return len(s.online), len(s.batch), len(s.waiting)
}

// Lost returns the number of slots held by work that continues although it was told
// to stop.
func (s *Slots) Lost() int { return len(s.lost) }

func (s *Slots) freeSlots() int {
	return s.params.Slots - len(s.online) - len(s.batch) - len(s.lost)
}

// choosePreempted chooses the batch work that must stop, youngest first, and marks it
// as stopping, so that as much work is stopping as online work is waiting.
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
