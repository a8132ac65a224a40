package ratelimit

import (
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// takeTimeout is how long an owner tries to get a bucket from the gateway that held it,
	// takeInterval the time between two tries.
	takeTimeout  = 60 * time.Millisecond
	takeInterval = 12 * time.Millisecond
	// maxBuckets bounds the number of workspaces that one gateway decides about.
	maxBuckets = 1 << 16
	// defaultWindow is the time over which rates hold if none is set.
	defaultWindow = 5 * time.Second
)

// handover is the attempt to get a bucket from the gateway that held it.
type handover struct {
	begun, lastTry time.Duration
	id             uint64
	from           string
	done           bool
	rate           fleet.Rate
	version        int64
}

// Take is a query that a Holder wants sent, under its ID.
type Take struct {
	Address string
	ID      uint64
	Query   fleet.RateQuery
}

// Holder holds the buckets of the workspaces that one gateway owns, and its parts of the
// tolerance for all others. It is not safe for concurrent use.
type Holder struct {
	*Members
	bounds Bounds
	// began is when the process began. It admits nothing from the tolerance for a window after
	// that, since the process before it may have done so.
	began     time.Duration
	buckets   map[string]*bucket
	pools     map[string]*pool
	alone     map[string]*pool
	handovers map[string]*handover
	// given holds when another gateway last took a workspace's bucket, or was told that there
	// is none.
	given  map[string]time.Duration
	ledger *ledger
	newID  func() uint64
}

// NewHolder returns a holder of a process that began at the given time. newID returns
// unique IDs of queries.
func NewHolder(m *Members, b Bounds, began time.Duration, newID func() uint64) *Holder {
	if b.Window <= 0 {
		b.Window = defaultWindow
	}
	m.began = began
	return &Holder{
		Members: m, bounds: b, began: began, newID: newID, ledger: newLedger(),
		buckets: map[string]*bucket{}, pools: map[string]*pool{}, alone: map[string]*pool{}, handovers: map[string]*handover{}, given: map[string]time.Duration{},
	}
}

// Handle decides about a query of the gateway at the address from. answered is false if there
// is no answer, or none yet: then the query is decided when it is repeated. If take is not nil,
// the caller must send it.
func (h *Holder) Handle(now time.Duration, from string, id uint64, q fleet.RateQuery) (answer fleet.RateAnswer, answered bool, take *Take) {
	key := queryKey{from, id}
	if q.Kind == fleet.RateReturn {
		h.takeBack(queryKey{from, q.AskID})
		return fleet.RateAnswer{}, false, nil
	}
	if e := h.ledger.find(key); e != nil {
		return e.answer, !e.returned, nil
	}
	switch q.Kind {
	case fleet.RateAsk:
		answer, take = h.ask(now, &q)
	case fleet.RateTake:
		answer = h.give(now, from, &q)
	case fleet.RateConfirm:
		if h.confirms(now, from) {
			return fleet.RateAnswer{Verdict: fleet.RateConfirmed, Quiet: h.quiet(now, from)}, true, nil
		}
		return fleet.RateAnswer{}, false, nil
	default:
		return fleet.RateAnswer{}, false, nil
	}
	if answer.Verdict == 0 {
		return answer, false, take
	}
	h.ledger.add(key, &entry{workspace: q.Workspace, answer: answer})
	return answer, true, take
}

// ask decides about a request. The verdict is 0 while a hand-over is in progress.
func (h *Holder) ask(now time.Duration, q *fleet.RateQuery) (fleet.RateAnswer, *Take) {
	rate := fleet.Rate{PerSecond: q.PerSecond, Burst: q.Burst}.Sanitized()
	if !rate.IsLimited() {
		return fleet.RateAnswer{Verdict: fleet.RateAdmitted}, nil
	}
	order := h.Order(q.Workspace)
	rank := h.rank(order)
	switch {
	case !h.acts(now) || rank < 0:
		return h.elsewhere(order, rank), nil
	case rank > 0 && !q.Deputy:
		return h.elsewhere(order, rank), nil
	case rank > 0:
		return h.askDeputy(now, q.Workspace, rate), nil
	}
	k, take, pending := h.bucket(now, q, rate, order)
	switch {
	case pending:
		return fleet.RateAnswer{}, take
	case k == nil && q.Deputy:
		return h.askDeputy(now, q.Workspace, rate), take
	case k == nil:
		return h.elsewhere(nil, rank), take
	}
	k.adopt(h.bounds, rate, q.Version)
	admitted, retryAfter := k.take(now)
	if !admitted {
		return fleet.RateAnswer{Verdict: fleet.RateExceeded, Tokens: k.tokens, RetryAfter: retryAfter}, take
	}
	return fleet.RateAnswer{Verdict: fleet.RateAdmitted, Tokens: k.tokens}, take
}

// rank returns this gateway's place in the order, -1 if it has none.
func (h *Holder) rank(order []Member) int {
	for i, m := range order {
		if m.Name == h.name {
			return i
		}
	}
	return -1
}

// elsewhere refers to the owner, unless that is this gateway.
func (h *Holder) elsewhere(order []Member, rank int) fleet.RateAnswer {
	a := fleet.RateAnswer{Verdict: fleet.RateElsewhere}
	if len(order) > 0 && rank != 0 {
		a.Owner = order[0].Address
	}
	if len(order) > 1 && rank == 0 && h.leaving {
		a.Owner = order[1].Address
	}
	return a
}

// askDeputy admits a request from the deputy's part of the tolerance.
func (h *Holder) askDeputy(now time.Duration, workspace string, rate fleet.Rate) fleet.RateAnswer {
	size := deputyPart * h.bounds.tolerance(rate)
	if now-h.began < h.bounds.Window || !takeFrom(h.pools, workspace, now, h.bounds.Window, size) {
		return fleet.RateAnswer{Verdict: fleet.RateElsewhere, Deputy: true}
	}
	return fleet.RateAnswer{Verdict: fleet.RateAdmitted, Deputy: true}
}

// AdmitAlone admits a request of this gateway's own caller by its own part of the
// tolerance.
func (h *Holder) AdmitAlone(now time.Duration, id uint64, workspace string, rate fleet.Rate) bool {
	size := alonePart * h.bounds.tolerance(rate.Sanitized()) / float64(max(1, len(h.present)))
	if now-h.began < h.bounds.Window || !takeFrom(h.alone, workspace, now, h.bounds.Window, size) {
		return false
	}
	h.ledger.add(queryKey{id: id}, &entry{workspace: workspace, answer: fleet.RateAnswer{Verdict: fleet.RateAdmitted}, alone: true})
	return true
}

// takeFrom admits a request from the workspace's pool of the given size.
func takeFrom(pools map[string]*pool, workspace string, now, window time.Duration, size float64) bool {
	p := pools[workspace]
	if p == nil && (size < 1 || len(pools) >= maxBuckets) {
		return false
	}
	if p == nil {
		p = &pool{}
		pools[workspace] = p
	}
	return p.take(now, window, size)
}

// bucket returns the workspace's bucket if this gateway, as the owner, has one or may begin
// one. pending is set while it may still come from the gateway that held it.
func (h *Holder) bucket(now time.Duration, q *fleet.RateQuery, rate fleet.Rate, order []Member) (k *bucket, take *Take, pending bool) {
	if k := h.held(q.Workspace); k != nil && !k.frozen {
		return k, nil, false
	}
	settled := now >= h.settledAt() || h.isGuarded(now, q.Workspace)
	if take, pending := h.continueHandover(now, q, rate, order); pending {
		return nil, take, true
	}
	if !settled || len(h.buckets) >= maxBuckets {
		return nil, nil, false
	}
	since := h.entitledFrom(now, q.Workspace)
	if at, found := h.given[q.Workspace]; found {
		since = max(since, at+h.lease)
		if now < since {
			return nil, nil, false
		}
		delete(h.given, q.Workspace)
	}
	k = newBucket(h.bounds, rate, q.Version, since)
	h.hold(q.Workspace, k)
	return k, nil, false
}

// held returns the workspace's bucket, nil if there is none. One from before the lease
// ran out is dropped, since another gateway may have been the owner meanwhile.
func (h *Holder) held(workspace string) *bucket {
	k := h.buckets[workspace]
	if k != nil && k.joins != h.joins {
		delete(h.buckets, workspace)
		return nil
	}
	return k
}

// hold keeps a bucket of this gateway.
func (h *Holder) hold(workspace string, k *bucket) {
	k.joins = h.joins
	h.buckets[workspace] = k
}

// continueHandover tries to get the bucket from the gateway that held it before: one that
// has left, or the one that was the owner until this one joined.
func (h *Holder) continueHandover(now time.Duration, q *fleet.RateQuery, rate fleet.Rate, order []Member) (*Take, bool) {
	o := h.handovers[q.Workspace]
	if o == nil || now-o.begun > h.lease {
		from := h.departedOwner(now, q.Workspace)
		if from == "" && now < h.joinedAt+h.lease && len(order) > 1 {
			from = order[1].Address
		}
		if from == "" {
			return nil, false
		}
		o = &handover{begun: now, lastTry: now - takeInterval, id: h.newID(), from: from, rate: rate, version: q.Version}
		h.handovers[q.Workspace] = o
	}
	if o.done || now-o.begun >= takeTimeout {
		return nil, false
	}
	if now-o.lastTry < takeInterval {
		return nil, true
	}
	o.lastTry = now
	query := fleet.RateQuery{Kind: fleet.RateTake, Workspace: q.Workspace, PerSecond: rate.PerSecond, Burst: rate.Burst, Version: q.Version}
	return &Take{Address: o.from, ID: o.id, Query: query}, true
}

// give gives the workspace's bucket up.
func (h *Holder) give(now time.Duration, to string, q *fleet.RateQuery) fleet.RateAnswer {
	k := h.held(q.Workspace)
	if k == nil {
		k = h.unusedBucket(now, to, q)
	}
	h.given[q.Workspace] = now
	if k == nil {
		return fleet.RateAnswer{Verdict: fleet.RateNotHeld}
	}
	if !k.frozen {
		k.fill(now)
	}
	delete(h.buckets, q.Workspace)
	return fleet.RateAnswer{Verdict: fleet.RateGiven, Tokens: k.tokens}
}

// unusedBucket returns the bucket of a workspace that sent nothing while this gateway was its
// owner, which it was until the gateway at the address to joined. It returns nil if it was not.
func (h *Holder) unusedBucket(now time.Duration, to string, q *fleet.RateQuery) *bucket {
	rate := fleet.Rate{PerSecond: q.PerSecond, Burst: q.Burst}.Sanitized()
	_, gave := h.given[q.Workspace]
	if h.left != nil && !gave && rate.IsLimited() && h.left.owned(q.Workspace, h.present) {
		k := newBucket(h.bounds, rate, q.Version, h.entitledFrom(now, q.Workspace))
		k.fill(h.left.until)
		k.frozen = true
		return k
	}
	until, owned := h.added(now, to)
	if gave || !owned || !rate.IsLimited() || !h.lapse(now) || until < h.entitledFrom(now, q.Workspace) {
		return nil
	}
	order := h.Order(q.Workspace)
	rank := h.rank(order)
	if rank != 0 && !(rank == 1 && order[0].Address == to) {
		return nil
	}
	k := newBucket(h.bounds, rate, q.Version, h.entitledFrom(now, q.Workspace))
	k.fill(until)
	k.frozen = true
	return k
}

// Taken takes over the answer to a Take.
func (h *Holder) Taken(now time.Duration, id uint64, a fleet.RateAnswer) {
	workspace, o := h.handover(id)
	if o == nil || o.done {
		return
	}
	o.done = true
	if held := h.held(workspace); a.Verdict != fleet.RateGiven || held != nil && !held.frozen || !h.acts(now) || h.rank(h.Order(workspace)) != 0 {
		return
	}
	since := now
	if h.IsSettled(now) { // whoever gave the bucket has not decided since then
		since = h.entitledFrom(now, workspace)
	}
	k := newBucket(h.bounds, o.rate, o.version, since)
	k.fill(now)
	k.tokens = min(k.capacity, k.tokens+max(0, a.Tokens))
	h.hold(workspace, k)
}

// handover returns the hand-over with the ID and its workspace.
func (h *Holder) handover(id uint64) (workspace string, o *handover) {
	for workspace, o := range h.handovers {
		if o.id == id {
			return workspace, o
		}
	}
	return "", nil
}

// takeBack takes the admission of a query back, once.
func (h *Holder) takeBack(key queryKey) {
	e := h.ledger.find(key)
	if e == nil {
		h.ledger.add(key, &entry{returned: true})
		return
	}
	if e.returned || e.answer.Verdict != fleet.RateAdmitted {
		return
	}
	e.returned = true
	switch {
	case e.alone && h.alone[e.workspace] != nil:
		h.alone[e.workspace].put()
	case e.answer.Deputy && h.pools[e.workspace] != nil:
		h.pools[e.workspace].put()
	case !e.alone && !e.answer.Deputy && h.buckets[e.workspace] != nil:
		h.buckets[e.workspace].put()
	}
}

// ReturnAlone takes back an admission of AdmitAlone.
func (h *Holder) ReturnAlone(id uint64) { h.takeBack(queryKey{id: id}) }

// Maintain drops what no longer matters after the members have changed or time has passed.
func (h *Holder) Maintain(now time.Duration) {
	acting := h.lapse(now)
	for workspace, k := range h.buckets {
		owns := acting && !h.leaving && h.rank(h.Order(workspace)) == 0
		switch {
		case !acting, k.joins != h.joins, k.frozen && owns, k.frozen && now-k.at > h.lease:
			delete(h.buckets, workspace)
		case !owns && !k.frozen:
			k.fill(now)
			k.frozen = true
		case owns && k.isFull(now) && now-h.entitledFrom(now, workspace) > 2*h.refill(k):
			delete(h.buckets, workspace)
		}
	}
	for workspace, o := range h.handovers {
		if now-o.begun > h.lease {
			delete(h.handovers, workspace)
		}
	}
	for workspace, at := range h.given {
		if now-at > 2*maxLease {
			delete(h.given, workspace)
		}
	}
	dropIdle(h.pools, now, h.bounds.Window)
	dropIdle(h.alone, now, h.bounds.Window)
}

// refill returns the time in which an empty bucket fills.
func (h *Holder) refill(k *bucket) time.Duration {
	return seconds(k.capacity / k.rate.PerSecond)
}

func dropIdle(pools map[string]*pool, now, window time.Duration) {
	for workspace, p := range pools {
		if n := len(p.admitted); n == 0 || now-p.admitted[n-1] >= window {
			delete(pools, workspace)
		}
	}
}
