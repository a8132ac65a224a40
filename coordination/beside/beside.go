// Package beside decides which service the target beside a batcher belongs to.
//
// It is designed for addresses that are used again: a target that has ended may be followed at
// its address by one of another service, which must not run what is meant for the first. A batcher
// that asks the address learns an ID, and that alone says nothing of the service. What does:
//
//   - the registry, which names the service of each ID, though not before the target has
//     registered, and not while the store is away
//   - the target before, if the new one answers sooner than addresses are used again, counted from
//     when the one before was last asked and still answered
//   - the settings, for a target that is there when the batcher starts: they name the service that
//     has the address at that moment. If nobody answers then, the target before may have ended long
//     ago, and whoever comes next may be of any service.
package beside

import "time"

// settingsValidity is how long after its start a batcher takes the target that answers its first
// question for one of the service in the settings. After a loss of power it starts with its target.
const settingsValidity = 500 * time.Millisecond

// Answer is an answer of the target at the address. Times are those since the instance started, by a
// clock that also counts suspensions.
type Answer struct {
	// AskedAt is when the question was sent, and At when the answer had come: the target ran at
	// some moment between the two.
	AskedAt, At time.Duration
	// ID is the target's ID, empty if the answer doesn't tell it for certain.
	ID string
}

// Identity is what is known of the target at an address. It is not safe for concurrent use.
type Identity struct {
	// AddressReuse is how long the address of a target that has ended is not used again by
	// another service, 0 if that is not known.
	AddressReuse time.Duration
	// StartedAt is when the batcher has read its settings, and SettingsService the service in them.
	StartedAt       time.Duration
	SettingsService string

	// isAsked is set once the first question to the address was answered, or was not.
	isAsked bool
	id      string
	service string
	// isRegistered is set once the registry has named the service.
	isRegistered bool
	// occupant is the service of whatever answered last, empty if it may be any, and seenAt when
	// that was asked: any other service has the address only AddressReuse later.
	occupant string
	seenAt   time.Duration
}

// Answered notes an answer. It reports whether another target answered for certain than before, or
// the first one.
func (i *Identity) Answered(a Answer) (changed bool) {
	service := i.serviceAtAddress(a.At)
	i.isAsked = true
	if changed = a.ID != "" && a.ID != i.id; changed {
		i.id, i.service, i.isRegistered = a.ID, service, false
	}
	if a.ID != "" {
		service = i.service
	}
	i.occupant, i.seenAt = service, a.AskedAt
	return changed
}

// NotAnswered notes that a question was not answered.
func (i *Identity) NotAnswered() { i.isAsked = true }

// serviceAtAddress returns the service of a target that answers at the time now, empty if it may
// belong to any.
func (i *Identity) serviceAtAddress(now time.Duration) string {
	switch {
	case !i.isAsked && now-i.StartedAt < settingsValidity:
		return i.SettingsService
	case now-i.seenAt < i.AddressReuse:
		return i.occupant
	}
	return ""
}

// GoesBySettings reports whether a target that answers now is taken for one of the service in the
// settings.
func (i *Identity) GoesBySettings() bool { return !i.isAsked && i.SettingsService != "" }

// Registered notes the service under which the registry has the target with the ID.
func (i *Identity) Registered(id, service string) {
	if id == i.id {
		i.service, i.occupant, i.isRegistered = service, service, true
	}
}

// SettingsChanged notes that the settings name another service now than when the batcher started.
// A target that is not registered may belong to either.
func (i *Identity) SettingsChanged() {
	i.SettingsService = ""
	if !i.isRegistered {
		i.service, i.occupant = "", ""
	}
}

// Service returns the service of the target with the ID, empty if it is not known.
func (i *Identity) Service(id string) string {
	if id == "" || id != i.id {
		return ""
	}
	return i.service
}

// Unregistered returns the ID of the target if the registry has not named its service yet, and
// empty otherwise.
func (i *Identity) Unregistered() string {
	if i.isRegistered {
		return ""
	}
	return i.id
}
