package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	readInterval = 400 * time.Millisecond
	askTimeout   = 90 * time.Millisecond
)

var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// event is something that happens at a time of the simulation.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// outcome is what became of a request.
type outcome struct {
	workspace string
	// sent is when the caller sent it, ran when it was admitted. limited is set if it was
	// refused because the rate is used up, unknown if nobody could tell.
	sent, ran        time.Duration
	limited, unknown bool
	by               string
}

// simulation plays gateways that share a log and exchange messages. All times are
// those of one event queue, except that the clock of each gateway has its own origin.
type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	queue    eventQueue
	seq      int
	log      map[string]Member
	revision int64
	gateways map[string]*simGateway
	names    []string
	outcomes []outcome
	// loss, duplication and maxDelay are the faults of messages.
	loss, duplication float64
	maxDelay          time.Duration
	cutPeers          map[string]bool
	limit             func(workspace string, at time.Duration) (fleet.Rate, int64)
	newIDs            uint64
}

// simGateway is one gateway; process changes with each restart.
type simGateway struct {
	s       *simulation
	name    string
	process int
	alive   bool
	frozen  time.Duration
	noStore bool
	weight  float64
	origin  time.Duration
	*Members
	holder    *Holder
	silences  Silences
	pending   map[uint64]func(fleet.RateAnswer)
	abandoned map[uint64]string
}

func newSimulation(seed uint64, limit func(string, time.Duration) (fleet.Rate, int64)) *simulation {
	return &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), log: map[string]Member{}, gateways: map[string]*simGateway{}, cutPeers: map[string]bool{},
		maxDelay: 2 * time.Millisecond, limit: limit,
	}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// add adds a gateway and starts it.
func (s *simulation) add(weight float64) *simGateway {
	g := &simGateway{s: s, name: fmt.Sprintf("gateway-%d", len(s.names)), weight: weight, origin: time.Duration(s.rng.IntN(1e6)) * time.Second}
	s.names = append(s.names, g.name)
	s.gateways[g.name] = g
	g.start()
	return g
}

func (g *simGateway) clock() time.Duration { return g.s.now + g.origin }

// start starts a process with empty memory.
func (g *simGateway) start() {
	g.process++
	g.alive = true
	g.Members = NewMembers(g.name, fmt.Sprintf("%s-%d", g.name, g.process))
	g.holder = NewHolder(g.Members, testBounds, g.clock(), g.s.nextID)
	g.silences = Silences{}
	g.pending, g.abandoned = map[uint64]func(fleet.RateAnswer){}, map[uint64]string{}
	process := g.process
	var read, renew func()
	read = func() {
		g.whenAwake(process, func() {
			asOf, list, cut := g.clock(), g.s.list(), g.noStore
			g.s.after(4*time.Millisecond, func() {
				g.whenAwake(process, func() {
					if !cut {
						g.Update(g.clock(), asOf, list)
					}
					g.holder.Maintain(g.clock())
					g.confirm()
					g.s.after(readInterval, read)
				})
			})
		})
	}
	renew = func() {
		g.whenAwake(process, func() {
			interval, lease := g.RenewInterval()
			begun, cut := g.clock(), g.noStore
			g.s.after(g.s.delay(100*time.Millisecond), func() {
				revision := int64(0)
				if !cut && !g.leaving {
					revision = g.s.put(Member{Name: g.name, Process: g.process_(), Address: g.name, Weight: g.weight, Lease: lease})
				}
				g.s.after(3*time.Millisecond, func() {
					g.whenAwake(process, func() {
						if revision > 0 {
							g.Renewed(g.clock(), begun, revision, lease)
						}
						g.s.after(interval, renew)
					})
				})
			})
		})
	}
	read()
	renew()
}

func (g *simGateway) process_() string { return fmt.Sprintf("%s-%d", g.name, g.process) }

// confirm asks the others whether they know of this process.
func (g *simGateway) confirm() {
	process, joined := g.process, g.joinedAt
	for _, address := range g.Unconfirmed(g.clock()) {
		g.s.message(g.name, address, func(to *simGateway) {
			a, answered, _ := to.holder.Handle(to.clock(), g.name, g.s.nextID(), fleet.RateQuery{Kind: fleet.RateConfirm})
			if !answered {
				return
			}
			g.s.message(address, g.name, func(*simGateway) {
				if g.process == process && g.joinedAt == joined {
					g.Confirmed(g.clock(), address, a.Quiet)
				}
			})
		})
	}
}

// whenAwake does something once the process is not frozen, unless it has ended.
func (g *simGateway) whenAwake(process int, do func()) {
	switch {
	case !g.alive || g.process != process:
	case g.s.now < g.frozen:
		g.s.after(g.frozen-g.s.now, func() { g.whenAwake(process, do) })
	default:
		do()
	}
}

// leave stops the gateway in an orderly way.
func (g *simGateway) leave() {
	g.Leave(g.clock())
	g.holder.Maintain(g.clock())
	delete(g.s.log, g.name)
	process := g.process
	g.s.after(4*time.Second, func() { g.whenAwake(process, func() { g.alive = false }) })
}

func (s *simulation) nextID() uint64 { s.newIDs++; return s.newIDs }

func (s *simulation) put(m Member) int64 {
	s.revision++
	m.Revision = s.revision
	s.log[m.Name] = m
	return s.revision
}

func (s *simulation) list() []Member {
	var list []Member
	for _, m := range s.log {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b Member) int { return int(a.Revision - b.Revision) })
	return list
}

func (s *simulation) delay(most time.Duration) time.Duration {
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(most)))
}

// message delivers do at the gateway, perhaps late, twice or not at all.
func (s *simulation) message(from, to string, do func(g *simGateway)) {
	copies := 1
	if s.rng.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.loss || s.cutPeers[from] || s.cutPeers[to] {
			continue
		}
		s.after(s.delay(s.maxDelay), func() {
			if g := s.gateways[to]; g != nil {
				g.whenAwake(g.process, func() { do(g) })
			}
		})
	}
}

// receive handles a query and answers it.
func (g *simGateway) receive(from string, id uint64, q fleet.RateQuery) {
	answer, answered, take := g.holder.Handle(g.clock(), from, id, q)
	if take != nil {
		g.s.message(g.name, take.Address, func(to *simGateway) { to.receive(g.name, take.ID, take.Query) })
	}
	if answered {
		g.s.message(g.name, from, func(to *simGateway) { to.receiveAnswer(id, answer) })
	}
}

func (g *simGateway) receiveAnswer(id uint64, a fleet.RateAnswer) {
	if a.Verdict == fleet.RateGiven || a.Verdict == fleet.RateNotHeld {
		g.holder.Taken(g.clock(), id, a)
		return
	}
	if done := g.pending[id]; done != nil {
		delete(g.pending, id)
		done(a)
		return
	}
	if to := g.abandoned[id]; to != "" && a.Verdict == fleet.RateAdmitted {
		delete(g.abandoned, id)
		g.s.message(g.name, to, func(owner *simGateway) {
			owner.receive(g.name, g.s.nextID(), fleet.RateQuery{Kind: fleet.RateReturn, AskID: id})
		})
	}
}

// request sends a request of the workspace to the gateway.
func (s *simulation) request(g *simGateway, workspace string) {
	sent := s.now
	process := g.process
	g.whenAwake(process, func() {
		rate, version := s.limit(workspace, s.now)
		i := NewInquiry(g.Order(workspace))
		g.inquire(process, i, fleet.RateQuery{Kind: fleet.RateAsk, Workspace: workspace, PerSecond: rate.PerSecond, Burst: rate.Burst, Version: version}, sent)
	})
}

// inquire makes the next step of an inquiry.
func (g *simGateway) inquire(process int, i *Inquiry, q fleet.RateQuery, sent time.Duration) {
	s := g.s
	step, found := i.Next(func(a string) bool { return g.silences.IsSilent(g.clock(), a) })
	if !found {
		rate := fleet.Rate{PerSecond: q.PerSecond, Burst: q.Burst}
		alone := g.holder.AdmitAlone(g.clock(), s.nextID(), q.Workspace, rate)
		s.outcomes = append(s.outcomes, outcome{workspace: q.Workspace, sent: sent, ran: s.now, unknown: !alone, by: "alone"})
		return
	}
	id := s.nextID()
	q.Deputy = step.Deputy
	g.pending[id] = func(a fleet.RateAnswer) {
		g.silences.Clear(step.Address)
		if !i.Heard(a, true) {
			g.inquire(process, i, q, sent)
			return
		}
		s.outcomes = append(s.outcomes, outcome{workspace: q.Workspace, sent: sent, ran: s.now, limited: a.Verdict == fleet.RateExceeded, by: step.Address})
	}
	for _, at := range []time.Duration{0, 15 * time.Millisecond, 40 * time.Millisecond} {
		s.after(at, func() {
			g.whenAwake(process, func() {
				if g.pending[id] != nil {
					g.send(step.Address, id, q)
				}
			})
		})
	}
	s.after(askTimeout, func() {
		g.whenAwake(process, func() {
			if g.pending[id] == nil {
				return
			}
			delete(g.pending, id)
			g.abandoned[id] = step.Address
			g.silences.Mark(g.clock(), step.Address)
			i.Heard(fleet.RateAnswer{}, false)
			g.inquire(process, i, q, sent)
		})
	})
}

// send sends a query, to this gateway itself without faults.
func (g *simGateway) send(address string, id uint64, q fleet.RateQuery) {
	if address != g.name {
		g.s.message(g.name, address, func(to *simGateway) { to.receive(g.name, id, q) })
		return
	}
	answer, answered, take := g.holder.Handle(g.clock(), g.name, id, q)
	if take != nil {
		g.s.message(g.name, take.Address, func(to *simGateway) { to.receive(g.name, take.ID, take.Query) })
	}
	if answered {
		g.receiveAnswer(id, answer)
	}
}

// worstWindow returns the largest excess of admissions over the bound in any window, by the
// rate that the workspace has at its end.
func (s *simulation) worstWindow(workspace string, rate fleet.Rate) (admitted int, bound float64) {
	var ran []outcome
	for _, o := range s.outcomes {
		if o.workspace == workspace && !o.limited && !o.unknown {
			ran = append(ran, o)
		}
	}
	bound = testBounds.limit(rate) + testBounds.tolerance(rate)
	for _, first := range ran {
		n := 0
		for _, o := range ran {
			if o.sent >= first.sent && o.ran <= first.sent+testBounds.Window {
				n++
			}
		}
		admitted = max(admitted, n)
	}
	return admitted, bound
}

// refused counts the requests that were sent from the given time on and not admitted.
func (s *simulation) refused(from time.Duration) (n int) {
	for _, o := range s.outcomes {
		if o.sent >= from && (o.limited || o.unknown) {
			n++
		}
	}
	return n
}
