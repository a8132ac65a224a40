package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/ratelimit"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// presenceInterval is the time between two looks at who is present, joinInterval that of a
	// gateway which does not decide yet. joinIntervalPerGateway bounds the reads of all that
	// start together.
	presenceInterval       = 200 * time.Millisecond
	joinInterval           = 60 * time.Millisecond
	joinIntervalPerGateway = 2 * time.Millisecond
	// renewTimeout bounds one append of the presence record, renewRetryDelay is the delay
	// before a failed one is made again.
	renewTimeout    = time.Second
	renewRetryDelay = 500 * time.Millisecond
	// presenceReadTimeout bounds the reading of the presence records by a process that starts.
	presenceReadTimeout = 900 * time.Millisecond
	// localInterval is the time between two attempts of this gateway to decide by a bucket
	// that is being handed over, localTries their number.
	localInterval = 15 * time.Millisecond
	localTries    = 6
	// maxAbandoned bounds the number of asks without answer that are remembered.
	maxAbandoned = 1024
)

// RateMessages sends messages about rates to other gateways. It is safe for concurrent
// use.
type RateMessages interface {
	// QueryRate sends a query and returns false if it is not answered in time.
	QueryRate(ctx context.Context, address string, id uint64, q fleet.RateQuery) (fleet.RateAnswer, bool)
	// SendRateQuery sends a query whose answer nobody waits for.
	SendRateQuery(address string, id uint64, q fleet.RateQuery)
}

// Rates limits the rates of workspaces together with the other gateways. It implements
// RateLimiter.
type Rates struct {
	g        *Gateway
	messages RateMessages
	// now is a clock that counts suspensions.
	now func() time.Duration
	// address is where this gateway receives messages.
	address string
	lastID  atomic.Uint64
	metrics *rateMetrics
	// undecided is the number of requests that no gateway could decide about so far.
	undecided atomic.Int64
	// enabled is set once this gateway has been present.
	enabled atomic.Bool
	// foldRebuilt is when the fold was last made anew, and foldFrom when that was noticed. Only
	// run uses them.
	foldRebuilt time.Time
	foldFrom    time.Duration

	// mu guards the fields below.
	mu       sync.Mutex
	members  *ratelimit.Members
	holder   *ratelimit.Holder
	silences ratelimit.Silences
	// abandoned holds the addresses that got asks which were given up without an answer, and
	// abandonedOrder their IDs, oldest first.
	abandoned      map[uint64]string
	abandonedOrder []uint64
	// admissions holds who admitted the requests in flight.
	admissions map[uint64]string
	// firstConfirm is the least ID of the questions for confirmation that count.
	firstConfirm uint64
	renewing     bool
	// deciding is set while this gateway decides without a hand-over.
	deciding bool
	// unconfirmed is the number of gateways without confirmation in the last log line.
	unconfirmed int
	nextRenew   time.Duration
}

// newRates returns the limiter of a gateway.
func newRates(g *Gateway, messages RateMessages, m *rateMetrics) *Rates {
	node, now := g.params.Node, g.params.Now
	if now == nil {
		created := time.Now()
		now = func() time.Duration { return time.Since(created) }
	}
	r := &Rates{
		g: g, messages: messages, now: now, address: net.JoinHostPort(node.Address, node.PeerPort), metrics: m,
		members:      ratelimit.NewMembers(node.Name, g.writer.Name()),
		firstConfirm: math.MaxUint64, abandoned: map[uint64]string{}, admissions: map[uint64]string{},
	}
	r.lastID.Store(rand.Uint64() >> 1) // leaves room to count on
	bounds := ratelimit.Bounds{Window: node.QuotaWindow, Overage: node.QuotaOverage, Slack: node.QuotaSlack}
	r.holder = ratelimit.NewHolder(r.members, bounds, now(), r.nextID)
	return r
}

func (r *Rates) nextID() uint64 { return r.lastID.Add(1) }

// Admit implements RateLimiter.
func (r *Rates) Admit(ctx context.Context, workspace *fleet.Workspace) (Admission, error) {
	rate := workspace.Rate.Sanitized()
	if !rate.IsLimited() {
		return Admission{}, nil
	}
	begun := time.Now()
	version := r.g.configVersion()
	q := fleet.RateQuery{Kind: fleet.RateAsk, Workspace: workspace.RateKey(), PerSecond: rate.PerSecond, Burst: rate.Burst, Version: version}
	a, by, inquiry := r.inquire(ctx, q)
	if id := r.nextID(); !isDecided(a) && r.admitAlone(id, q.Workspace, rate) {
		r.metrics.requests.WithLabelValues("admitted_alone").Inc()
		return Admission{Workspace: workspace.Name, ID: id}, nil
	}
	if !isDecided(a) {
		a, by, inquiry = r.inquireAgain(ctx, q)
	}
	r.metrics.seconds.Observe(time.Since(begun).Seconds())
	if a.Verdict == fleet.RateAdmitted {
		r.metrics.requests.WithLabelValues(outcomeAdmitted(a.Deputy)).Inc()
		return by, nil
	}
	r.logRefusal(workspace, version, isDecided(a), a, inquiry)
	return Admission{}, ratelimit.Refusal(workspace, isDecided(a), a, inquiry.Silent)
}

// isDecided reports whether the answer admits the request, or says that it exceeds the rate.
func isDecided(a fleet.RateAnswer) bool {
	return a.Verdict == fleet.RateAdmitted || a.Verdict == fleet.RateExceeded
}

// inquireAgain inquires for a while until a gateway can decide.
func (r *Rates) inquireAgain(ctx context.Context, q fleet.RateQuery) (a fleet.RateAnswer, by Admission, inquiry *ratelimit.Inquiry) {
	persistence := ratelimit.NewPersistence(r.now(), timeLeft(ctx), int(r.undecided.Add(1)-1))
	defer r.undecided.Add(-1)
	inquiry = &ratelimit.Inquiry{}
	for ctx.Err() == nil && !r.g.closing.Load() {
		wait, again := persistence.Next(r.now(), rand.Float64())
		if !again {
			break
		}
		pause.For(ctx, wait)
		if a, by, inquiry = r.inquire(ctx, q); isDecided(a) {
			break
		}
	}
	return a, by, inquiry
}

// timeLeft returns the time until the context's deadline, 0 if it has none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, found := ctx.Deadline()
	if !found {
		return 0
	}
	return time.Until(deadline)
}

// inquire asks gateways until one decides. It returns the zero answer if none does.
func (r *Rates) inquire(ctx context.Context, q fleet.RateQuery) (fleet.RateAnswer, Admission, *ratelimit.Inquiry) {
	r.mu.Lock()
	inquiry := ratelimit.NewInquiry(r.members.Order(q.Workspace))
	r.mu.Unlock()
	for ctx.Err() == nil {
		r.mu.Lock()
		now := r.now()
		step, found := inquiry.Next(func(address string) bool { return r.silences.IsSilent(now, address) })
		r.mu.Unlock()
		if !found {
			break
		}
		id := r.nextID()
		q.Deputy = step.Deputy
		a, answered := r.ask(ctx, step.Address, id, q)
		if inquiry.Heard(a, answered) {
			if a.Verdict == fleet.RateAdmitted {
				r.remember(id, step.Address)
			}
			return a, Admission{Workspace: q.Workspace, ID: id}, inquiry
		}
	}
	return fleet.RateAnswer{}, Admission{}, inquiry
}

// ask asks one gateway, which may be this one.
func (r *Rates) ask(ctx context.Context, address string, id uint64, q fleet.RateQuery) (fleet.RateAnswer, bool) {
	if address == r.address {
		return r.askSelf(ctx, id, q)
	}
	a, answered := r.messages.QueryRate(ctx, address, id, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.silences.Clear(address)
		r.metrics.asks.WithLabelValues(verdictNames[a.Verdict]).Inc()
		return a, true
	}
	if ctx.Err() == nil {
		r.silences.Mark(r.now(), address)
	}
	r.abandon(id, address)
	r.metrics.asks.WithLabelValues("silent").Inc()
	return a, false
}

// askSelf decides by this gateway's own bucket, for which it may have to wait.
func (r *Rates) askSelf(ctx context.Context, id uint64, q fleet.RateQuery) (fleet.RateAnswer, bool) {
	for range localTries {
		if a, answered := r.HandleRateQuery(r.address, id, q); answered {
			return a, true
		}
		pause.For(ctx, localInterval)
	}
	return fleet.RateAnswer{}, false
}

// abandon remembers an ask that was given up: if it is answered all the same, what it took is
// returned. mu must be held.
func (r *Rates) abandon(id uint64, address string) {
	if len(r.abandonedOrder) >= maxAbandoned {
		delete(r.abandoned, r.abandonedOrder[0])
		r.abandonedOrder = r.abandonedOrder[1:]
	}
	r.abandoned[id] = address
	r.abandonedOrder = append(r.abandonedOrder, id)
}

// remember remembers who admitted a request until it ends.
func (r *Rates) remember(id uint64, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admissions[id] = address
}

func (r *Rates) admitAlone(id uint64, workspace string, rate fleet.Rate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.AdmitAlone(r.now(), id, workspace, rate)
}

// forget ends an admission whose request has run, and returns who made it.
func (r *Rates) forget(a Admission) (address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	address = r.admissions[a.ID]
	delete(r.admissions, a.ID)
	return address
}

// Return implements RateLimiter.
func (r *Rates) Return(a Admission) {
	if a.ID == 0 {
		return
	}
	address := r.forget(a)
	r.metrics.requests.WithLabelValues("returned").Inc()
	switch address {
	case "":
		r.mu.Lock()
		defer r.mu.Unlock()
		r.holder.ReturnAlone(a.ID)
	case r.address:
		r.HandleRateQuery(address, r.nextID(), fleet.RateQuery{Kind: fleet.RateReturn, Workspace: a.Workspace, AskID: a.ID})
	default:
		r.messages.SendRateQuery(address, r.nextID(), fleet.RateQuery{Kind: fleet.RateReturn, Workspace: a.Workspace, AskID: a.ID})
	}
}

// HandleRateQuery decides about a query of the gateway at the address from. It returns
// false if there is nothing to answer.
func (r *Rates) HandleRateQuery(from string, id uint64, q fleet.RateQuery) (fleet.RateAnswer, bool) {
	r.mu.Lock()
	answer, answered, take := r.holder.Handle(r.now(), from, id, q)
	r.mu.Unlock()
	if take != nil {
		r.messages.SendRateQuery(take.Address, take.ID, take.Query)
	}
	return answer, answered
}

// HandleRateAnswer takes over a bucket that was handed over, or returns what a late answer
// admitted.
func (r *Rates) HandleRateAnswer(from string, id uint64, a fleet.RateAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Verdict == fleet.RateConfirmed {
		r.confirmed(from, id, a.Quiet)
		return
	}
	if a.Verdict == fleet.RateGiven || a.Verdict == fleet.RateNotHeld {
		r.holder.Taken(r.now(), id, a)
		return
	}
	address, found := r.abandoned[id]
	if !found || a.Verdict != fleet.RateAdmitted {
		return
	}
	delete(r.abandoned, id)
	r.messages.SendRateQuery(address, r.nextID(), fleet.RateQuery{Kind: fleet.RateReturn, AskID: id})
}

// logRefusal logs who refused a request of a workspace, and by what.
func (r *Rates) logRefusal(workspace *fleet.Workspace, version int64, decided bool, a fleet.RateAnswer, i *ratelimit.Inquiry) {
	reason := "exceeded"
	if !decided {
		reason = "unknown"
	}
	r.metrics.requests.WithLabelValues(reason).Inc()
	r.mu.Lock()
	age, gateways := r.members.Age(r.now()), r.members.Len()
	r.mu.Unlock()
	klog.InfoS("rate refused a request", "workspace", workspace.Name, "reason", reason, "version", version,
		"per_second", workspace.Rate.PerSecond, "burst", workspace.Rate.Burst, "left", a.Tokens, "retry_after", a.RetryAfter,
		"decided_by", i.Asked(), "silent", i.Silent, "gateways", gateways, "view_age", age)
}

// admitRate counts the request against its workspace's rate. ended must be called with the
// outcome of the request, and with whether a target may have run it.
func (g *Gateway) admitRate(ctx context.Context, r *fleet.Request) (ended func(err error, mayHaveRun bool), err error) {
	if g.params.RateLimiter == nil || r.Workspace == nil || !r.Workspace.Rate.IsLimited() {
		return func(error, bool) {}, nil
	}
	admission, err := g.params.RateLimiter.Admit(ctx, r.Workspace)
	if err != nil {
		klog.InfoS("request not admitted", "request", r.ID, "workspace", r.Workspace.Name, "error", protocol.CauseOf(err))
		return nil, err
	}
	return func(err error, mayHaveRun bool) {
		if !mayHaveRun && errorx.IsOfType(err, fleet.ErrRefused) {
			g.params.RateLimiter.Return(admission)
			return
		}
		if rates := g.rates; rates != nil {
			rates.forget(admission)
		}
	}, nil
}
