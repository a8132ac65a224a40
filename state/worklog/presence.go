package worklog

import (
	"strings"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// presencePrefix begins the keys of presence records; the name of the instance follows, so
// that the newest record of an instance replaces the others. It sorts after all other keys, so
// that these records can be read without others.
const presencePrefix = "~present/"

// Presence records that a gateway is present and can be asked about rates.
type Presence struct {
	// Instance is the name of the gateway's instance, Address where it receives datagrams.
	Instance string `msgpack:"i"`
	Address  string `msgpack:"a"`
	// Weight is the size of the gateway, as a share of a processor.
	Weight float64 `msgpack:"w"`
	// Lease is how long the gateway may act after it began to append the record.
	Lease time.Duration `msgpack:"l"`
}

// PresentGateway is the newest presence record of an instance.
type PresentGateway struct {
	Presence
	// Writer is the name of the process that wrote it, Offset that of the record.
	Writer string
	Offset int64
}

// presences holds the newest presence record of each instance.
type presences struct {
	newest map[string]PresentGateway
}

func (p *presences) add(g PresentGateway) {
	if p.newest == nil {
		p.newest = map[string]PresentGateway{}
	}
	p.newest[g.Instance] = g
}

// PresenceKey returns the key of an instance's presence record. A record without a value
// under it ends the presence.
func PresenceKey(instance string) string { return presencePrefix + instance }

// Presences returns the newest presence record of each instance, in no order.
func (f *Fold) Presences() []PresentGateway {
	list := make([]PresentGateway, 0, len(f.presences.newest))
	for _, p := range f.presences.newest {
		list = append(list, p)
	}
	return list
}

// applyDeletion applies the deletion of a key and reports whether it is one of a presence
// record.
func (p *presences) applyDeletion(key string) bool {
	instance, found := strings.CutPrefix(key, presencePrefix)
	if found {
		delete(p.newest, instance)
	}
	return found
}

// PresenceDeletions returns up to limit records that delete the presence records of writers
// that were last heard of before the given time: their instances are gone for good.
func (f *Fold) PresenceDeletions(before time.Time, limit int) []fleet.Record {
	var deletions []fleet.Record
	for instance, p := range f.presences.newest {
		if len(deletions) < limit && f.lastHeard[p.Writer].Before(before) {
			deletions = append(deletions, fleet.Record{Key: PresenceKey(instance)})
		}
	}
	return deletions
}

// IsPresenceKey reports whether the key is one of a presence record.
func IsPresenceKey(key string) bool { return strings.HasPrefix(key, presencePrefix) }

// BeforePresences sorts before the keys of all presence records and after all other keys.
const BeforePresences = presencePrefix

// DecodePresence returns the gateway of a presence record, or false if it is none.
func DecodePresence(r fleet.Record) (PresentGateway, bool) {
	e, ok := decode(r)
	if !ok || e.Presence == nil {
		return PresentGateway{}, false
	}
	return PresentGateway{*e.Presence, e.Writer, r.Offset}, true
}
