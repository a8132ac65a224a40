package worklog

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestNewestPresenceCounts restarts a gateway and stops another one. If an older record of an
// instance, or one that was deleted, still counted, requests would be asked of a gateway that is
// gone.
func TestNewestPresenceCounts(t *testing.T) {
	l := &log{t: t}
	present := func(instance, address string) Entry {
		return Entry{Presence: &Presence{Instance: instance, Address: address, Weight: 0.5, Lease: 8 * time.Second}}
	}
	l.put(NewWriter("a-1"), present("a", "10.0.0.1:1"))
	l.put(NewWriter("b-1"), present("b", "10.0.0.2:1"))
	l.put(NewWriter("a-2"), present("a", "10.0.0.3:1"))
	l.append([]fleet.Record{{Key: PresenceKey("b")}})
	restarted := NewFold()
	restarted.Apply(now, l.newest())
	for _, f := range []*Fold{l.fold(), restarted} {
		list := f.Presences()
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].Writer, "a-2")
		assert.Equal(t, list[0].Address, "10.0.0.3:1")
		assert.Equal(t, f.Malformed(), 0)
	}
}

// earlierEntry is an entry as builds without presence records know it.
type earlierEntry struct {
	Writer    string  `msgpack:"w"`
	Accept    *Accept `msgpack:"a,omitempty"`
	Heartbeat bool    `msgpack:"v,omitempty"`
}

// TestPresenceInEarlierBuild reads a presence record with an earlier build, which runs beside
// this one during an upgrade. It must neither fail nor take it for another record.
func TestPresenceInEarlierBuild(t *testing.T) {
	r, err := NewWriter("a-1").Record(Entry{Presence: &Presence{Instance: "a", Address: "10.0.0.1:1"}})
	assert.NilError(t, err)
	var e earlierEntry
	assert.NilError(t, msgpack.Unmarshal(r.Value, &e))
	assert.DeepEqual(t, e, earlierEntry{Writer: "a-1"})
}

// TestPresenceOfLostInstanceIsDeleted takes an instance away for good while another renews its
// presence: the record of the lost one would otherwise stay in the store for ever, and each
// process that starts would count a gateway that is gone.
func TestPresenceOfLostInstanceIsDeleted(t *testing.T) {
	f := NewFold()
	apply := func(at time.Time, instance string, offset int64) {
		r, err := NewWriter(instance + "-1").Record(Entry{Presence: &Presence{Instance: instance, Address: "10.0.0.1:1"}})
		assert.NilError(t, err)
		r.Offset = offset
		f.Apply(at, []fleet.Record{r})
	}
	apply(now, "lost", 1)
	apply(now, "there", 2)
	apply(now.Add(10*time.Minute), "there", 3)
	deletions := f.PresenceDeletions(now.Add(time.Minute), 10)
	assert.DeepEqual(t, deletions, []fleet.Record{{Key: PresenceKey("lost")}})
	f.Apply(now, deletions)
	assert.Equal(t, len(f.Presences()), 1)
	assert.Equal(t, len(f.PresenceDeletions(now.Add(time.Minute), 10)), 0)
}
