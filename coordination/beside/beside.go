// Package beside decides which service the target beside a batcher belongs to.
//
// It is designed for addresses that are used again: a target that has ended may be followed at
// its address by one of another service, which must not run what is meant for the first. A batcher
// that asks the address learns an ID, and that alone says nothing of the service. What does:
//
//   - the registry, which names the service of each ID, though not before the target has
//     registered, and not while the store is away
//   - the target before, if the new one follows sooner than addresses are used again
//   - the settings, for a target that is found when the batcher starts: they are those in effect
//     at that moment. Settings that were read long ago say nothing.
package beside

import "time"

// settingsValidity is how long after its start a batcher takes a target that it finds for one of
// the service in the settings. After a loss of power it starts with its target.
const settingsValidity = 2 * time.Second

// Identity is what is known of the target at an address. It is not safe for concurrent use.
type Identity struct {
	// AddressReuse is how long the address of a target that has ended is not used again by
	// another service, 0 if that is not known.
	AddressReuse time.Duration
	// StartedAt is when the batcher has started, and SettingsService the service in its settings.
	StartedAt       time.Time
	SettingsService string

	id      string
	service string
	// isRegistered is set once the registry has named the service.
	isRegistered bool
	// answeredAt is when the target last answered so that its ID was certain.
	answeredAt time.Time
}

// Answered notes that the target with the ID answered for certain. It reports whether another one
// did before, or none.
func (i *Identity) Answered(now time.Time, id string) (changed bool) {
	changed = id != i.id
	if changed {
		i.service, i.isRegistered = i.inferService(now), false
	}
	i.id, i.answeredAt = id, now
	return changed
}

// inferService returns the service of a target that now answers for the first time, empty if it may
// belong to any.
func (i *Identity) inferService(now time.Time) string {
	switch {
	case i.id == "" && now.Sub(i.StartedAt) < settingsValidity:
		return i.SettingsService
	case i.id != "" && now.Sub(i.answeredAt) < i.AddressReuse:
		return i.service
	}
	return ""
}

// Registered notes the service under which the registry has the target with the ID.
func (i *Identity) Registered(id, service string) {
	if id == i.id {
		i.service, i.isRegistered = service, true
	}
}

// SettingsChanged notes that the settings name another service now than when the batcher started.
// A target that is not registered may belong to either.
func (i *Identity) SettingsChanged() {
	i.SettingsService = ""
	if !i.isRegistered {
		i.service = ""
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
