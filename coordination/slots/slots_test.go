package slots

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// seed makes the random tests the same on every run.
const seed = "20261204"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", "2000")
	fmt.Println("rapid seed", seed)
	os.Exit(m.Run())
}

func TestOnlineWorkTakesTheSlotOfBatch(t *testing.T) {
	s := New(Params{Slots: 2, Queue: 1})
	assert.Equal(t, s.ArriveBatch("b1"), Run)
	assert.Equal(t, s.ArriveBatch("b2"), Run)
	decision, effects := s.ArriveOnline("o1")
	assert.Equal(t, decision, Wait)
	assert.DeepEqual(t, effects.Preempt, []string{"b2"})
	assert.DeepEqual(t, s.Release("b2").Start, []string{"o1"})
}

func TestLostSlotPreemptsAnother(t *testing.T) {
	s := New(Params{Slots: 2, Queue: 1})
	assert.Equal(t, s.ArriveBatch("b1"), Run)
	assert.Equal(t, s.ArriveBatch("b2"), Run)
	_, _ = s.ArriveOnline("o1")
	assert.DeepEqual(t, s.MarkLost("b2").Preempt, []string{"b1"})
	assert.DeepEqual(t, s.Release("b1").Start, []string{"o1"})
	assert.Equal(t, s.ArriveBatch("b3"), Refuse)
	assert.Equal(t, s.Lost(), 1)
	s.Release("b2")
	assert.Equal(t, s.ArriveBatch("b3"), Run)
}

func TestSameIDIsRefused(t *testing.T) {
	s := New(Params{Slots: 2, Queue: 2})
	_, _ = s.ArriveOnline("a")
	again, _ := s.ArriveOnline("a")
	assert.Equal(t, again, Refuse)
	assert.Equal(t, s.ArriveBatch("a"), Refuse)
}

// model is what the effects and decisions of the slots say about each ID.
type model struct {
	slots    *Slots
	params   Params
	online   map[string]bool
	batch    map[string]bool
	stopping map[string]bool
	lost     map[string]bool
	long     map[string]bool
	waiting  []string
	next     int
}

func (m *model) id() string {
	m.next++
	return strconv.Itoa(m.next)
}

func (m *model) apply(t *rapid.T, e Effects) {
	for _, id := range e.Start {
		i := slices.Index(m.waiting, id)
		assert.Assert(t, i >= 0, "start of %s, waiting are %v", id, m.waiting)
		for _, passed := range m.waiting[:i] {
			assert.Assert(t, m.long[passed] && !m.long[id] && m.runningLong() >= m.params.LongSlots, "start of %s before %s", id, passed)
		}
		m.waiting = slices.Delete(m.waiting, i, i+1)
		m.online[id] = true
	}
	for _, id := range e.Move {
		assert.Assert(t, m.long[id] && m.online[id] && !m.stopping[id], "move of %s", id)
		m.stopping[id] = true
		assert.Assert(t, m.runningLong() >= m.params.LongSlots, "long work has %d slots of %d", m.runningLong(), m.params.LongSlots)
	}
	for _, id := range e.Preempt {
		assert.Assert(t, m.batch[id] && !m.stopping[id], "preempt of %s", id)
		m.stopping[id] = true
	}
}

// runningLong counts the long work that runs and was not told to stop.
func (m *model) runningLong() int {
	n := 0
	for id := range m.long {
		if m.online[id] && !m.stopping[id] {
			n++
		}
	}
	return n
}

func (m *model) removeWork(id string) {
	delete(m.long, id)
	delete(m.online, id)
	delete(m.batch, id)
	delete(m.stopping, id)
	if i := slices.Index(m.waiting, id); i >= 0 {
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
}

func (m *model) arriveOnline(t *rapid.T) {
	id := m.id()
	decision, effects := m.slots.ArriveOnline(id)
	switch decision {
	case Run:
		m.online[id] = true
	case Wait:
		m.waiting = append(m.waiting, id)
	}
	m.apply(t, effects)
}

func (m *model) arriveLong(t *rapid.T) {
	id := m.id()
	decision, effects := m.slots.ArriveLong(id)
	switch decision {
	case Run:
		m.online[id], m.long[id] = true, true
	case Wait:
		m.waiting = append(m.waiting, id)
		m.long[id] = true
	}
	m.apply(t, effects)
}

func (m *model) arriveBatch(t *rapid.T) {
	id := m.id()
	if m.slots.ArriveBatch(id) == Run {
		assert.Equal(t, len(m.waiting), 0, "batch admitted while online work waits")
		m.batch[id] = true
	}
}

func (m *model) known() []string {
	ids := slices.Concat(slices.Collect(maps.Keys(m.online)), slices.Collect(maps.Keys(m.batch)), slices.Collect(maps.Keys(m.lost)), m.waiting)
	slices.Sort(ids)
	return append(ids, "unknown")
}

func (m *model) done(t *rapid.T) {
	id := rapid.SampledFrom(m.known()).Draw(t, "done")
	m.removeWork(id)
	delete(m.lost, id)
	m.apply(t, m.slots.Release(id))
}

func (m *model) lose(t *rapid.T) {
	id := rapid.SampledFrom(m.known()).Draw(t, "lose")
	if m.online[id] || m.batch[id] {
		m.removeWork(id)
		m.lost[id] = true
	}
	m.apply(t, m.slots.MarkLost(id))
}

func (m *model) check(t *rapid.T) {
	held := len(m.online) + len(m.batch) + len(m.lost)
	assert.Assert(t, held <= m.params.Slots, "%d slots held of %d", held, m.params.Slots)
	assert.Assert(t, len(m.waiting) == 0 || held == m.params.Slots, "work waits while a slot is free")
	assert.Assert(t, len(m.stopping) >= min(len(m.waiting), len(m.batch)), "%d wait, %d of %d stop", len(m.waiting), len(m.stopping), len(m.batch))
	short := 0
	for _, id := range m.waiting {
		if !m.long[id] {
			short++
		}
	}
	spare := len(m.batch) + max(0, m.runningLong()-m.params.LongSlots)
	assert.Assert(t, len(m.stopping) >= min(short, spare), "%d short wait, %d stop, %d could", short, len(m.stopping), spare)
	online, batch, waiting := m.slots.Counts()
	assert.DeepEqual(t, []int{online, batch, waiting, m.slots.Lost()}, []int{len(m.online), len(m.batch), len(m.waiting), len(m.lost)})
}

// TestSlotsModel drives the slots with random inputs and checks after each that
// online work waits only for slots that batch work is giving back, and that
// nothing leaks.
func TestSlotsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{
			Slots:   rapid.IntRange(1, 6).Draw(t, "slots"),
			Reserve: rapid.IntRange(0, 2).Draw(t, "reserve"),
			Queue:   rapid.IntRange(0, 4).Draw(t, "queue"),
		}
		p.LongSlots = rapid.IntRange(1, p.Slots).Draw(t, "long slots")
		m := &model{
			slots: New(p), params: p, online: map[string]bool{}, batch: map[string]bool{},
			stopping: map[string]bool{}, lost: map[string]bool{}, long: map[string]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"online": m.arriveOnline,
			"long":   m.arriveLong,
			"batch":  m.arriveBatch,
			"done":   m.done,
			"lose":   m.lose,
			"":       m.check,
		})
	})
}
