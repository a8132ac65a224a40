package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRenewInterval is the time between two renewals of a presence record in a small
	// deployment, and maxRenewalsPerSecond bounds those of all gateways together.
	minRenewInterval     = 2 * time.Second
	maxRenewalsPerSecond = 20
	// leaseIntervals is the length of a lease in renewal intervals. Owners go on deciding for
	// that time while the store is away.
	leaseIntervals = 6
	// dropMargin is the time after the end of a lease until others drop the gateway.
	dropMargin = 1500 * time.Millisecond
	// maxLease bounds the lease that a record may name, and defaultWeight is the weight of a
	// gateway that does not know its share of a processor.
	maxLease      = 5 * time.Minute
	defaultWeight = 1.0
	// departedFor is how long a gateway that has left may still hand its buckets over.
	departedFor = 3 * time.Second
	// maxCachedOrders bounds the number of workspaces whose order is kept.
	maxCachedOrders = 1 << 14
	// maxRemovals bounds the number of removals of members that are remembered.
	maxRemovals = 128
	// deputies is the number of gateways after the owner that stand in for it.
	deputies = 2
	// confirmPatience is how long a gateway that has joined waits for the confirmation of all
	// others before that of those next in a workspace's order suffices.
	confirmPatience = 300 * time.Millisecond
)

// Member is a gateway that is present.
type Member struct {
	// Name is the instance's name and Process that of its process. Revision increases with
	// each renewal.
	Name, Process string
	Revision      int64
	// Address is where the gateway receives datagrams.
	Address string
	// Weight is the gateway's size as a share of a processor. The share of the workspaces that
	// it owns is proportional to it.
	Weight float64
	// Lease is how long the gateway may act after a renewal.
	Lease time.Duration
}

// known is a member with the time at which its last renewal was read.
type known struct {
	Member
	renewedAt time.Duration
	// addedAt is when the member came to be present.
	addedAt time.Duration
}

// Members is what one gateway knows of all gateways. It is not safe for concurrent use.
type Members struct {
	name, process string
	known         map[string]*known
	// present holds the members that count, ordered by name.
	present []Member
	// departed holds the members that have deleted their records, with the time.
	departed map[string]*known
	// removals are the members that were removed from present, the latest last: only then does
	// another one become the owner of their workspaces. removedBefore is the time of the latest
	// one that is not listed any more. self is this gateway's own newest record.
	removals      []known
	removedBefore time.Duration
	self          Member
	orders        map[string][]Member

	// readAt is when the last read of the log began, leaseFrom when the last confirmed
	// renewal began, and confirmed its revision. They are valid once hasRead and hasLease
	// are set.
	readAt, leaseFrom time.Duration
	hasRead, hasLease bool
	confirmed         int64
	lease             time.Duration
	// joinedAt is when this process's record was first read back since it last had no lease.
	joinedAt time.Duration
	joined   bool
	leaving  bool
	// left is set if this gateway decided when it left.
	left *departure
	// joins counts how often this process has joined.
	joins int
	// confirmedBy holds the gateways that know that this process has joined. allConfirmed is
	// set, with the time, once it holds all that are present.
	confirmedBy    map[string]bool
	allConfirmed   bool
	allConfirmedAt time.Duration
	// began is when the process began. stoppedAt is when this process last decided something
	// in an earlier joining, and quietFrom from when on no other gateway has decided in its place.
	began, stoppedAt, quietFrom time.Duration
	// promisedAt is when this process, not having joined, last confirmed a gateway that it had
	// not read of: it joins by a later read only.
	promisedAt time.Duration
}

// NewMembers returns what a process knows before it has read anything. name is that of its
// instance.
func NewMembers(name, process string) *Members {
	return &Members{name: name, process: process, known: map[string]*known{}, departed: map[string]*known{}, orders: map[string][]Member{}, lease: leaseIntervals * minRenewInterval}
}

// RenewInterval returns the time between two renewals, and the lease that they give.
func (m *Members) RenewInterval() (interval, lease time.Duration) {
	interval = max(minRenewInterval, time.Duration(len(m.present))*time.Second/maxRenewalsPerSecond)
	return interval, leaseIntervals * interval
}

// Update takes over the records of the log by a read that began at asOf.
func (m *Members) Update(now, asOf time.Duration, list []Member) {
	m.lapse(now)
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.Name] = true
		m.learn(now, r)
	}
	for name, k := range m.known {
		if !listed[name] {
			delete(m.known, name)
			m.departed[name] = &known{Member: k.Member, renewedAt: now}
		}
	}
	for name, k := range m.departed {
		if listed[name] || now-k.renewedAt > departedFor {
			delete(m.departed, name)
		}
	}
	m.readAt, m.hasRead = asOf, true
	m.join(now, asOf)
	m.refresh(now, asOf)
}

// learn takes over a record.
func (m *Members) learn(now time.Duration, r Member) {
	k := m.known[r.Name]
	if k == nil {
		k = &known{addedAt: now}
		m.known[r.Name] = k
	}
	if k.Revision != r.Revision || k.Process == "" {
		k.Member, k.renewedAt = sanitized(r), now
	}
	if r.Name == m.name {
		m.self = k.Member
	}
}

// join notes that this process's record was read back.
func (m *Members) join(now, asOf time.Duration) {
	own := m.known[m.name]
	if asOf < m.promisedAt {
		return
	}
	if !m.joined && m.hasLease && own != nil && own.Process == m.process && own.Revision >= m.confirmed && now < m.leaseFrom+m.lease {
		m.joined, m.joinedAt = true, now
		m.joins++
		m.allConfirmed, m.confirmedBy = false, map[string]bool{}
		m.quietFrom = max(m.began, m.stoppedAt)
	}
}

// refresh determines who is present.
func (m *Members) refresh(now, asOf time.Duration) {
	var present []Member
	for _, k := range m.known {
		if asOf-k.renewedAt >= k.Lease+dropMargin {
			k.addedAt = now // if it comes back, it does so later
			continue
		}
		present = append(present, k.Member)
	}
	slices.SortFunc(present, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	same := func(a, b Member) bool { return a.Name == b.Name && a.Address == b.Address && a.Weight == b.Weight }
	if !slices.EqualFunc(present, m.present, same) {
		m.orders = map[string][]Member{}
	}
	for _, before := range m.present {
		if !slices.ContainsFunc(present, func(p Member) bool { return same(p, before) }) {
			m.remove(now, before)
		}
	}
	m.present = present
	m.checkConfirmed(now)
}

// remove notes that a member was removed.
func (m *Members) remove(now time.Duration, removed Member) {
	if removed.Name == m.name {
		return
	}
	if len(m.removals) >= maxRemovals {
		m.removedBefore = m.removals[0].renewedAt
		m.removals = slices.Delete(m.removals, 0, 1)
	}
	m.removals = append(m.removals, known{Member: removed, renewedAt: now})
}

// Unconfirmed returns the addresses of the gateways that must still confirm that they know of
// this one: until then, one of them may act as the owner of the same workspaces.
func (m *Members) Unconfirmed(now time.Duration) (addresses []string) {
	if !m.lapse(now) || m.allConfirmed {
		return nil
	}
	for _, p := range m.present {
		if p.Name != m.name && !m.confirmedBy[p.Address] {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// Confirmed notes the answer of the gateway at the address to a question that was asked after
// this process had joined. quiet is for how long that one has decided nothing in its place.
func (m *Members) Confirmed(now time.Duration, address string, quiet time.Duration) {
	if m.lapse(now) && !m.allConfirmed {
		m.confirmedBy[address] = true
		m.quietFrom = max(m.quietFrom, now-max(0, quiet))
		m.checkConfirmed(now)
	}
}

// checkConfirmed notes when all gateways have confirmed.
func (m *Members) checkConfirmed(now time.Duration) {
	if m.joined && !m.allConfirmed && len(m.Unconfirmed(now)) == 0 {
		m.allConfirmed, m.allConfirmedAt = true, now
	}
}

// confirms reports whether this gateway either counts the one at the address, or will have
// read of it before it decides about anything.
func (m *Members) confirms(now time.Duration, address string) bool {
	if slices.ContainsFunc(m.present, func(p Member) bool { return p.Address == address }) {
		return true
	}
	if m.lapse(now) {
		return false
	}
	m.promisedAt = now
	return true
}

// sanitized returns the member with a weight and a lease that can be used.
func sanitized(r Member) Member {
	if !(r.Weight > 0 && r.Weight < math.MaxInt32) {
		r.Weight = defaultWeight
	}
	r.Lease = min(max(r.Lease, minRenewInterval), maxLease)
	return r
}

// Renewed notes that the store has confirmed a renewal that was begun at the given time,
// and its revision and lease.
func (m *Members) Renewed(now, begun time.Duration, revision int64, lease time.Duration) {
	m.lapse(now)
	m.leaseFrom, m.hasLease, m.lease = begun, true, lease
	if !m.joined {
		m.confirmed = revision
	}
}

// Leave ends this gateway's part: it decides about nothing any more.
func (m *Members) Leave(now time.Duration) {
	if own := m.known[m.name]; own != nil && m.IsSettled(now) && !m.leaving {
		m.left = &departure{own.Member, now}
	}
	m.leaving = true
}

// departure is what a gateway that leaves was entitled to.
type departure struct {
	Member
	until time.Duration
}

// owned reports whether the gateway that leaves owned the workspace.
func (d *departure) owned(workspace string, present []Member) bool {
	all := append(slices.DeleteFunc(slices.Clone(present), func(m Member) bool { return m.Name == d.Name }), d.Member)
	sortByRank(all, workspace)
	return all[0].Name == d.Name
}

// lapse notes that the lease has run out, and reports whether this process has a valid one.
func (m *Members) lapse(now time.Duration) bool {
	if m.joined && (now >= m.leaseFrom+m.lease || now >= m.readAt+m.lease) {
		m.joined, m.hasLease = false, false
		m.stoppedAt = now
	}
	return m.joined
}

// acts reports whether this gateway may decide.
func (m *Members) acts(now time.Duration) bool { return m.lapse(now) && !m.leaving }

// quiet returns for how long this process has decided nothing in the place of the gateway at
// the address.
func (m *Members) quiet(now time.Duration, address string) time.Duration {
	if m.joins == 0 {
		return now - m.began
	}
	for _, k := range m.known {
		if k.Address != address {
			continue
		}
		if m.joins == 1 && m.joined && k.addedAt <= m.joinedAt {
			return now - m.began
		}
		return now - k.addedAt
	}
	return 0
}

// entitledFrom returns from when on the workspace, which this gateway owns, has used nothing of
// its rate elsewhere: since a member was removed that would be its owner.
func (m *Members) entitledFrom(now time.Duration, workspace string) time.Duration {
	from := m.settledAt()
	if m.allConfirmed || now < from && m.isGuarded(now, workspace) {
		from = m.quietFrom
	}
	from = max(from, m.removedBefore)
	own := rankOf(workspace, m.self)
	for _, k := range m.removals {
		if k.renewedAt > from && rankOf(workspace, k.Member) >= own {
			from = k.renewedAt
		}
	}
	return from
}

// settledAt returns from when on every other gateway knows that this one is present.
func (m *Members) settledAt() time.Duration {
	longest := m.lease
	for _, k := range m.present {
		longest = max(longest, k.Lease)
	}
	if m.allConfirmed {
		return min(m.allConfirmedAt, m.joinedAt+longest)
	}
	return m.joinedAt + longest
}

// isGuarded reports whether this gateway, the owner of the workspace, may decide although some
// others have not confirmed it, for instance one that is gone for good and whose lease has not
// run out: the deputies of the workspace have. One further down in its order would decide only
// if it had dropped this gateway and both deputies. It sees in the log that they renew, and
// without the log it drops nobody.
func (m *Members) isGuarded(now time.Duration, workspace string) bool {
	if !m.lapse(now) || now < m.joinedAt+confirmPatience {
		return false
	}
	order := m.Order(workspace)
	if len(order) <= deputies || order[0].Name != m.name {
		return false
	}
	return !slices.ContainsFunc(order[1:], func(d Member) bool { return !m.confirmedBy[d.Address] })
}

// added returns when the gateway at the address came to be present, and false if it was
// present already when this one joined.
func (m *Members) added(now time.Duration, address string) (time.Duration, bool) {
	for _, k := range m.known {
		if k.Address == address {
			return k.addedAt, k.addedAt > m.joinedAt
		}
	}
	return now, true // its record has not been read yet
}

// IsSettled reports whether this gateway decides without a hand-over.
func (m *Members) IsSettled(now time.Duration) bool { return m.lapse(now) && now >= m.settledAt() }

// Age returns the time since the last read of the log.
func (m *Members) Age(now time.Duration) time.Duration { return now - m.readAt }

// Len returns the number of gateways that are present.
func (m *Members) Len() int { return len(m.present) }
