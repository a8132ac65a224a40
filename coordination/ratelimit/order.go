package ratelimit

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Order returns the owner of the workspace and its deputies, as far as there are any.
func (m *Members) Order(workspace string) []Member {
	if order, found := m.orders[workspace]; found {
		return order
	}
	order := slices.Clone(m.present)
	sortByRank(order, workspace)
	order = order[:min(len(order), 1+deputies)]
	if len(m.orders) < maxCachedOrders {
		m.orders[workspace] = order
	}
	return order
}

// departedOwner returns the address of a gateway that has left and would be the
// workspace's owner, empty if there is none.
func (m *Members) departedOwner(now time.Duration, workspace string) string {
	var gone []Member
	for _, k := range m.departed {
		if now-k.renewedAt <= departedFor {
			gone = append(gone, k.Member)
		}
	}
	if len(gone) == 0 || len(m.present) == 0 {
		return ""
	}
	all := append(gone, m.Order(workspace)[0])
	sortByRank(all, workspace)
	if all[0].Name == m.Order(workspace)[0].Name {
		return ""
	}
	return all[0].Address
}

// sortByRank orders members by a weighted rendezvous hash: each is first for a share of the
// workspaces that its weight determines.
func sortByRank(members []Member, workspace string) {
	ranks := make(map[string]float64, len(members))
	for _, m := range members {
		ranks[m.Name] = rankOf(workspace, m)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(ranks[b.Name], ranks[a.Name]), cmp.Compare(a.Name, b.Name))
	})
}

// rankOf returns the member's rank for the workspace; the highest one is the owner.
func rankOf(workspace string, m Member) float64 {
	return -m.Weight / math.Log(uniform(workspace, m.Name))
}

// uniform returns a number between 0 and 1, both excluded, that the two names determine.
func uniform(workspace, member string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	x := mix(h.Sum64())
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// mix spreads the differences of similar names over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
