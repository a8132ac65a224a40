package history

import (
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/timeline"
)

// CheckPriority replays the events of one target's slots and checks that no
// online attempt waited while a slot that batch work held could be freed, that
// no batch work was admitted meanwhile, and that no more than slots were held.
// It fails with ErrHistory. Events of other names and targets are skipped.
func CheckPriority(events []protocol.Event, target string, slots int) error {
	r := &slotReplay{slots: slots, class: map[string]protocol.Class{}, waiting: map[string]bool{}, preempted: map[string]bool{}, lost: map[string]bool{}}
	for _, e := range events {
		if e.Fields["target"] != target {
			continue
		}
		if err := r.step(e); err != nil {
			return err
		}
	}
	return r.checkSlots("the end")
}

// slotReplay is the state of a target's slots as its events tell it.
type slotReplay struct {
	slots int
	// class holds the attempts that hold a slot.
	class     map[string]protocol.Class
	waiting   map[string]bool
	preempted map[string]bool
	lost      map[string]bool
}

func (r *slotReplay) step(e protocol.Event) error {
	attempt := e.Fields["attempt"]
	switch e.Name {
	case timeline.SlotWaiting:
		if err := r.checkSlots(attempt); err != nil {
			return err
		}
		r.waiting[attempt] = true
	case timeline.SlotGranted:
		return r.grant(attempt, protocol.Class(e.Fields["class"]))
	case timeline.BatchPreempted:
		if r.class[attempt] != protocol.ClassBatch {
			return ErrHistory.New("%s preempted, which is no batch attempt that holds a slot", attempt)
		}
		r.preempted[attempt] = true
	case timeline.SlotLost:
		if err := r.checkSlots(attempt); err != nil {
			return err
		}
		r.lost[attempt] = true
		delete(r.preempted, attempt)
	case timeline.SlotFreed:
		if err := r.checkSlots(attempt); err != nil {
			return err
		}
		delete(r.class, attempt)
		delete(r.waiting, attempt)
		delete(r.preempted, attempt)
		delete(r.lost, attempt)
	}
	return nil
}

func (r *slotReplay) grant(attempt string, class protocol.Class) error {
	if class == protocol.ClassBatch && len(r.waiting) > 0 {
		return ErrHistory.New("batch attempt %s admitted while %d online ones waited", attempt, len(r.waiting))
	}
	delete(r.waiting, attempt)
	r.class[attempt] = class
	if len(r.class) > r.slots {
		return ErrHistory.New("%d slots held of %d after the grant to %s", len(r.class), r.slots, attempt)
	}
	return nil
}

// checkSlots checks the state between two inputs of the slots.
func (r *slotReplay) checkSlots(before string) error {
	batch := 0
	for attempt, class := range r.class {
		if class == protocol.ClassBatch && !r.lost[attempt] {
			batch++
		}
	}
	if len(r.waiting) > 0 && len(r.class) < r.slots {
		return ErrHistory.New("before %s: %d wait while %d of %d slots are held", before, len(r.waiting), len(r.class), r.slots)
	}
	if want := min(len(r.waiting), batch); len(r.preempted) < want {
		return ErrHistory.New("before %s: %d of %d batch attempts stop for %d that wait", before, len(r.preempted), batch, len(r.waiting))
	}
	return nil
}
