package access_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/access"
)

var (
	none      = access.Credentials{}
	held      = access.Credentials{Required: true, Held: true}
	spare     = access.Credentials{Held: true}
	unknown   = access.Credentials{Required: true}
	removed   = access.Credentials{Required: true, HeldBefore: true}
	withdrawn = access.Credentials{HeldBefore: true}
)

func view(age, revocation time.Duration) access.View {
	return access.View{Known: true, Age: age, RevocationTimeout: revocation}
}

// TestAgeDecides goes through the ages of a configuration. A key that was removed must not be
// served for longer than the revocation timeout, and one that was added not be denied, by a
// gateway that has not heard of either.
func TestAgeDecides(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		view        access.View
		credentials access.Credentials
		want        access.Verdict
	}{
		"fresh":                            {view(0, 5*second), held, access.Serve},
		"just young enough":                {view(3750*time.Millisecond-1, 5*second), held, access.Serve},
		"too old to serve":                 {view(3750*time.Millisecond, 5*second), held, access.TooOldToServe},
		"never read":                       {access.View{RevocationTimeout: 5 * second}, held, access.TooOldToServe},
		"revocation not strict":            {view(time.Hour, 0), held, access.Serve},
		"short revocation":                 {view(750*time.Millisecond, second), held, access.TooOldToServe},
		"unknown key":                      {view(access.MaxDenialAge, 5*second), unknown, access.UnknownKey},
		"unknown key, old":                 {view(access.MaxDenialAge+1, 5*second), unknown, access.TooOldToDeny},
		"unknown key, old, not strict":     {view(time.Hour, 0), unknown, access.TooOldToDeny},
		"unknown key, never read":          {access.View{}, unknown, access.TooOldToDeny},
		"removed key":                      {view(0, 5*second), removed, access.Revoked},
		"removed key, old":                 {view(4*second, 5*second), removed, access.TooOldToDeny},
		"no key needed":                    {view(time.Hour, 5*second), none, access.Anonymous},
		"no key needed, never read":        {access.View{RevocationTimeout: second}, none, access.Anonymous},
		"a key that is not needed":         {view(0, 5*second), spare, access.Serve},
		"a key that is not needed, old":    {view(4*second, 5*second), spare, access.TooOldToServe},
		"a removed key that is not needed": {view(0, 5*second), withdrawn, access.Anonymous},
	} {
		assert.Equal(t, access.Decide(test.view, test.credentials).String(), test.want.String(), name)
	}
}

// TestCallersAreSentElsewhereBeforeTheyAreRefused checks that a gateway without the store stops
// inviting callers with a key at 0.6 of the revocation timeout, and serves those that come for a
// while longer, yet not for the whole timeout.
func TestCallersAreSentElsewhereBeforeTheyAreRefused(t *testing.T) {
	const timeout = 5 * time.Second
	assert.Assert(t, view(3*time.Second-1, timeout).MayInviteKeys())
	assert.Assert(t, !view(3*time.Second, timeout).MayInviteKeys())
	assert.Assert(t, view(3*time.Second+400*time.Millisecond, timeout).MayServeKeys())
	assert.Assert(t, !view(4*time.Second, timeout).MayServeKeys())
	assert.Assert(t, view(time.Hour, 0).MayInviteKeys())
	assert.Assert(t, !access.View{RevocationTimeout: timeout}.MayInviteKeys())
}

// TestRemovedKeyIsNotServedLate plays a gateway that reads the configuration at times, is
// cut off and suspended, and asks for each moment whether a key that was removed is served
// later than the timeout allows. The age of a view counts from the start of its read, so
// that a removal which the read has not shown is younger than the view.
func TestRemovedKeyIsNotServedLate(t *testing.T) {
	const timeout = 5 * time.Second
	for removedAt := time.Duration(0); removedAt < 20*time.Second; removedAt += 130 * time.Millisecond {
		lastRead := time.Duration(-1)
		for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
			cut := now >= 8*time.Second && now < 15*time.Second || now >= 21*time.Second
			suspended := now >= 17*time.Second && now < 19*time.Second
			if suspended {
				continue
			}
			if !cut && now%(400*time.Millisecond) == 0 {
				lastRead = now
			}
			v := access.View{Known: lastRead >= 0, Age: now - lastRead, RevocationTimeout: timeout}
			c := access.Credentials{Required: true, Held: lastRead < removedAt, HeldBefore: true}
			if verdict := access.Decide(v, c); verdict == access.Serve {
				assert.Assert(t, now < removedAt+timeout, "removed at %v, served at %v", removedAt, now)
			}
		}
	}
}
