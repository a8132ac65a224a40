package routing

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// PrefixBytes is the length of the part of a prompt that decides where it goes.
// Requests that share it share blocks of an engine's prefix cache.
const PrefixBytes = 256

// AffinityKey returns the key that keeps related requests together: the same for
// requests of one workspace and service whose prompts begin alike. It is never
// zero. The idea of a locality preserving key, with load moved on to the next
// owner, is that of Lee et al., "CISS: An efficient object clustering framework
// for DHT-based peer-to-peer applications" (2007).
func AffinityKey(workspace, service, prompt string) uint64 {
	prefix := prompt[:min(len(prompt), PrefixBytes)]
	return xxhash.Sum64String(workspace+"\x00"+service+"\x00"+prefix) | 1
}

// BoundedAffinity sends requests with the same key to the same target, unless that target
// has more than its share of the load: then to the next one in an order that
// depends on the key alone.
type BoundedAffinity struct {
	// LoadFactor bounds a target's load, as a multiple of the candidates' mean.
	LoadFactor float64
	// MinBound is the load that every target may have, as a part of its slots.
	MinBound float64
	// Fallback chooses for requests without a key.
	Fallback Chooser
}

// Choose implements Chooser.
func (c BoundedAffinity) Choose(candidates []*Target, key uint64) *Target {
	if key == 0 {
		return c.Fallback.Choose(candidates, key)
	}
	bound := c.loadBound(candidates)
	var best *Target
	highest := uint64(0)
	for _, t := range candidates {
		if t.load() > bound {
			continue
		}
		if score := affinityScore(t, key); best == nil || score > highest {
			best, highest = t, score
		}
	}
	if best == nil {
		return c.Fallback.Choose(candidates, key)
	}
	return best
}

// loadBound returns the highest load that a target may have to take a request.
func (c BoundedAffinity) loadBound(candidates []*Target) float64 {
	sum := 0.0
	for _, t := range candidates {
		sum += t.load()
	}
	return max(c.MinBound, c.LoadFactor*sum/float64(len(candidates)))
}

func affinityScore(t *Target, key uint64) uint64 {
	return mixBits(xxhash.Sum64String(t.Name) ^ key)
}

// mixBits spreads the bits of a hash, so that close inputs give unrelated orders.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// maxOwners bounds the keys whose last owner is remembered.
const maxOwners = 1 << 16

// LastOwner remembers the target that took the last request with a key, and
// sends the next one there while its load allows, without looking at the others.
type LastOwner struct {
	// MaxLoad is the load up to which the remembered target is taken.
	MaxLoad float64
	// Fallback chooses a target where none is remembered or it is too busy.
	Fallback Chooser

	mu     sync.Mutex
	owners map[uint64]string
}

// Choose implements Chooser.
func (c *LastOwner) Choose(candidates []*Target, key uint64) *Target {
	if key == 0 {
		return c.Fallback.Choose(candidates, key)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner, found := c.owners[key]; found {
		for _, t := range candidates {
			if t.Name == owner && t.load() <= c.MaxLoad {
				return t
			}
		}
	}
	t := c.Fallback.Choose(candidates, key)
	if c.owners == nil || len(c.owners) >= maxOwners {
		c.owners = map[uint64]string{}
	}
	c.owners[key] = t.Name
	return t
}
