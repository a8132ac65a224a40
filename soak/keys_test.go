package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

var (
	keySeed     = flag.Uint64("key-seed", 41, "the seed of TestRemovedKeysStopWorking")
	keyDuration = flag.Duration("key-duration", 20*time.Second, "how long TestRemovedKeysStopWorking disturbs")
)

const (
	// revocation is how long after the removal of a key a request with it may be sent that
	// runs.
	revocation = 2 * time.Second
	// unknownKey is a key that no workspace ever has.
	unknownKey = "key-unknown"
	// keyedCallers is the number of callers, keyedPause their longest pause.
	keyedCallers = 12
	keyedPause   = 40 * time.Millisecond
	// keyChangePause is the longest pause between two changes of the keys.
	keyChangePause = 700 * time.Millisecond
)

// heldKey is a key with the times at which the configurations were acknowledged that added and
// removed it. removing is when the call began that removed it.
type heldKey struct {
	name, workspace          string
	added, removing, removed time.Time
}

// keyBook holds all keys that there have been.
type keyBook struct {
	mu   sync.Mutex
	keys []*heldKey
}

func newKeyBook() *keyBook {
	b := &keyBook{}
	for i := range 6 {
		b.add(fmt.Sprint("workspace-", i%3)).added = time.Now()
	}
	return b
}

// add adds a key of the workspace, which is not in force yet.
func (b *keyBook) add(workspace string) *heldKey {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := &heldKey{name: fmt.Sprint("key-", len(b.keys)), workspace: workspace}
	b.keys = append(b.keys, key)
	return key
}

// workspaces returns the workspaces of a configuration with the keys that are not being
// removed, nil if b is nil.
func (b *keyBook) workspaces() []platformtest.Workspace {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held := map[string][]string{}
	for _, key := range b.keys {
		if key.removing.IsZero() {
			held[key.workspace] = append(held[key.workspace], key.name)
		}
	}
	list := []platformtest.Workspace{}
	for name, keys := range held {
		list = append(list, platformtest.Workspace{Name: name, Keys: keys})
	}
	return list
}

// pick returns one of the newest keys, removed ones among them, or one that never was.
func (b *keyBook) pick(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rng.IntN(30) == 0 {
		return unknownKey
	}
	recent := b.keys[max(0, len(b.keys)-12):]
	return pick(rng, recent).name
}

// get returns a copy of the key, nil if there never was such a key.
func (b *keyBook) get(name string) *heldKey {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range b.keys {
		if key.name == name {
			found := *key
			return &found
		}
	}
	return nil
}

// replace removes a key that is in force, and adds another one to its workspace.
func (b *keyBook) replace(s *site, rng *rand.Rand) {
	b.mu.Lock()
	inForce := slices.DeleteFunc(slices.Clone(b.keys), func(k *heldKey) bool { return !k.removing.IsZero() })
	old := pick(rng, inForce)
	old.removing = time.Now()
	b.mu.Unlock()
	next := b.add(old.workspace)
	for s.publish(s.t.Context(), modelService) != nil { // the store fails at times
		sleep(s.t.Context(), 100*time.Millisecond)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old.removed, next.added = time.Now(), time.Now()
}

// keyedRequest is a request that was sent with a key, or an item of a job.
type keyedRequest struct {
	sentRequest
	key string
	// item is set for items, which run for as long as their job is open.
	item bool
}

// keyedLog holds all keyed requests.
type keyedLog struct {
	mu   sync.Mutex
	sent []keyedRequest
}

// callKeyed sends one request with a key, which also claims to come from another workspace.
func (l *keyedLog) callKeyed(ctx context.Context, c *caller) {
	key := c.site.size.keys.pick(c.rng)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id, d := c.nextID("keyed"), pick(c.rng, c.site.gateways)
	path, items, body := "/r.20/"+id, []string(nil), []byte(nil)
	switch c.rng.IntN(20) {
	case 0:
		j := c.newJob()
		id, path, items, body = j.id, "/j.30/"+j.id, j.items, j.body()
	case 1, 2, 3, 4, 5, 6, 7, 8, 9:
		path = "/g/" + id
	}
	r := c.request(ctx, http.MethodPost, path, id, d, body)
	r.Header.Set(platformtest.HeaderKey, "Bearer "+key)
	r.Header.Add(platformtest.HeaderWorkspace, "workspace-9")
	one := keyedRequest{sentRequest: sentRequest{id: id, gateway: d.name, begun: time.Now()}, key: key}
	if resp, err := c.client.Do(r); err == nil {
		one.status = resp.StatusCode
		_ = resp.Body.Close()
	}
	one.end = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, one)
	for _, item := range items {
		one.id, one.item = item, true
		l.sent = append(l.sent, one)
	}
}

// TestRemovedKeysStopWorking replaces keys while gateways are cut off from the store, frozen,
// killed, or served late. A request that was sent longer than the revocation timeout after
// its key was removed must not run, whichever gateway it reached; one with a key that is in
// force must not be denied; and targets must see the key's workspace, once, and no key.
func TestRemovedKeysStopWorking(t *testing.T) {
	layout := smallLayout
	layout.gateways, layout.keys = 4, newKeyBook()
	s := newSite(t, binary, layout)
	t.Cleanup(func() { s.writeFailureReport(*keySeed) })
	ctx, stop := context.WithTimeout(t.Context(), *keyDuration)
	defer stop()
	l, violations := &keyedLog{}, newRecorder()
	var group, faults sync.WaitGroup
	for i := range keyedCallers {
		name, rng := fmt.Sprint("k", i), rand.New(rand.NewPCG(*keySeed, uint64(i)))
		s.startCaller(ctx, &group, violations, name, rng, keyedPause, func(c *caller, ctx context.Context) { l.callKeyed(ctx, c) })
	}
	group.Go(func() {
		rng := rand.New(rand.NewPCG(*keySeed, 500))
		for ctx.Err() == nil {
			layout.keys.replace(s, rng)
			sleep(ctx, time.Duration(rng.Int64N(int64(keyChangePause))))
		}
	})
	rng := rand.New(rand.NewPCG(*keySeed, 1000))
	for ctx.Err() == nil {
		s.begin(t.Context(), &faults, pick(rng, readerFaults), rng)
		sleep(ctx, time.Duration(200+rng.IntN(1000))*time.Millisecond)
	}
	group.Wait()
	faults.Wait()
	s.checkKeys(l, violations)
	for _, problem := range violations.problems[:min(len(violations.problems), 20)] {
		t.Errorf("%s", problem)
	}
}

// checkKeys compares the keys of the requests with what targets ran.
func (s *site) checkKeys(l *keyedLog, violations *recorder) {
	runs := map[string][]platformtest.Run{}
	for _, r := range s.journal.Runs() {
		runs[r.Request] = append(runs[r.Request], r)
	}
	statuses, ran, ranRemoved := map[int]int{}, 0, 0
	for _, one := range l.sent {
		key := s.size.keys.get(one.key)
		checkRunsOfKey(violations, one, key, runs[one.id])
		checkDenial(violations, one, key)
		if !one.item {
			statuses[one.status]++
		}
		ran += len(runs[one.id])
		if key != nil && !key.removed.IsZero() && one.begun.After(key.removed) {
			ranRemoved += len(runs[one.id])
		}
	}
	s.t.Logf("seed %d: %d requests by status %v, %d runs, %d of keys that were removed lately, %d keys",
		*keySeed, len(l.sent), statuses, ran, ranRemoved, len(s.size.keys.keys))
	assert.Check(s.t, statuses[http.StatusOK] > 0 && statuses[http.StatusUnauthorized] > 0 && statuses[http.StatusServiceUnavailable] > 0)
}

// checkRunsOfKey checks the runs of a request with the key, which is nil if it never was.
func checkRunsOfKey(violations *recorder, one keyedRequest, key *heldKey, runs []platformtest.Run) {
	for _, r := range runs {
		switch {
		case key == nil:
			violations.recordViolation("%s at %s ran with a key that never was", one.id, one.gateway)
		case !key.removed.IsZero() && one.begun.After(key.removed.Add(revocation)):
			violations.recordViolation("%s at %s ran, sent %v after its key was removed", one.id, one.gateway, one.begun.Sub(key.removed))
		case !slices.Equal(r.Workspaces, []string{key.workspace}):
			violations.recordViolation("%s of %s ran for %q", one.id, key.workspace, r.Workspaces)
		}
		if r.KeyPassed {
			violations.recordViolation("%s ran with its key passed on", one.id)
		}
	}
}

// checkDenial checks that a denied request had no key that had been in force for some time.
func checkDenial(violations *recorder, one keyedRequest, key *heldKey) {
	if one.status != http.StatusUnauthorized || key == nil {
		return
	}
	added := !key.added.IsZero() && key.added.Add(propagationBound).Before(one.begun)
	if added && (key.removing.IsZero() || key.removing.After(one.end)) {
		violations.recordViolation("%s at %s was denied, %v after its key was added", one.id, one.gateway, one.begun.Sub(key.added))
	}
}
