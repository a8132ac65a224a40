package worklog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSavedProgress follows an item through two holders: only the one that holds it
// saves, what it saved outlives it, and a release or a result takes its place.
func TestSavedProgress(t *testing.T) {
	l := &log{t: t}
	a, b := NewWriter("a"), NewWriter("b")
	ref := ItemRef{"j", "x"}
	item := func() *Item { return l.fold().Item(ref) }
	l.put(a, accept("j", "x"))
	l.put(a, save(ref, 3))
	assert.Assert(t, item().Saved == nil, "nobody holds it")
	l.put(a, claim("j", "x", NoClaim))
	l.put(a, save(ref, 5))
	l.put(b, save(ref, 7))
	assert.Equal(t, item().ResumeEvents(), 5)
	l.put(b, claim("j", "x", item().Claim))
	assert.Equal(t, item().ResumeEvents(), 5, "it outlives its holder")
	l.put(a, save(ref, 9))
	assert.Equal(t, item().ResumeEvents(), 5, "another one holds it")
	l.put(b, Entry{Release: &Release{ItemRef: ref, Progress: Progress{Text: "t", LastEventID: "2", Events: 2}}})
	assert.Equal(t, item().ResumeEvents(), 2)
	l.put(b, claim("j", "x", NoClaim))
	l.put(b, save(ref, 4))
	l.put(b, done("j", "x", "text"))
	assert.Assert(t, item().Saved == nil)
	_, texts := l.fold().Job("j").Deletions()
	kept := map[string]int{}
	for _, r := range texts {
		kept[r.Key]++
	}
	assert.DeepEqual(t, kept, map[string]int{"text": 1, SavedKey(ref): 1})
}
