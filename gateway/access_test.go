package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/gateway"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// versions decodes a configuration record, which holds a version, as the configuration with
// the keyring of that version.
type versions struct {
	decoder
	keyrings map[int64]map[fleet.Key]*fleet.Workspace
}

func (d versions) Configuration(r fleet.Record) (*fleet.Configuration, error) {
	version, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		return nil, fleet.ErrMalformed.Wrap(err, "version")
	}
	var list []*fleet.Route
	for _, r := range routes {
		list = append(list, r)
	}
	list = append(list, &fleet.Route{Name: "open", Host: "h", Prefix: "/open/", Kind: fleet.KindSafe, Anonymous: true})
	c := fleet.NewConfiguration(version, list, nil, fleet.Limits{})
	if keys, found := d.keyrings[version]; found {
		c.Keyring = fleet.NewKeyring(keys)
	}
	return c, nil
}

const revocationTimeout = 5 * time.Second

var (
	one = &fleet.Workspace{Name: "one"}
	two = &fleet.Workspace{Name: "two"}
	// bothKeys are the keys of versions 1 and 3; version 2 lacks that of one.
	bothKeys = map[fleet.Key]*fleet.Workspace{"key-1": one, "key-2": two}
	twoKeys  = map[fleet.Key]*fleet.Workspace{"key-2": two}
)

// guarded is a gateway with workspaces, and the nanoseconds for which its instance was suspended.
type guarded struct {
	*fixture
	suspended atomic.Int64
}

func startGuarded(t *testing.T, path fleet.Store, store *fleetstore.Store, steps ...step) *guarded {
	t.Helper()
	s := &guarded{fixture: &fixture{t: t, store: store, sender: &sender{steps: steps}}}
	begun := time.Now()
	s.Gateway = gateway.New(gateway.Params{
		Node:    &fleet.Node{Name: "gateway-1", GracePeriod: 8 * time.Second, MaxRecordBytes: 1 << 18, RevocationTimeout: revocationTimeout},
		Store:   path,
		Sender:  s.sender,
		Decoder: versions{keyrings: map[int64]map[fleet.Key]*fleet.Workspace{1: bothKeys, 2: twoKeys, 3: bothKeys}},
		Now:     func() time.Duration { return time.Since(begun) + time.Duration(s.suspended.Load()) },
	})
	s.Start()
	time.Sleep(time.Second)
	return s
}

// configure puts a version of the configuration in force.
func (s *guarded) configure(version int) {
	_, err := s.store.Append(s.t.Context(), fleet.TopicConfiguration, fleet.AnyOffset, []fleet.Record{{Key: "config", Value: []byte(fmt.Sprint(version))}})
	assert.NilError(s.t, err)
}

// serveWith serves a request of the route that carries the key, from its match on.
func (s *guarded) serveWith(ctx context.Context, path string, key fleet.Key) error {
	route, workspace, err := s.Match(ctx, "h", path, key)
	if err != nil {
		return err
	}
	r := &fleet.Request{
		ID: "r1", Method: http.MethodPost, Host: "h", URI: path, Header: http.Header{}, MaxWait: 5 * time.Second, Key: key, Workspace: workspace,
	}
	return s.Serve(ctx, route, r, &sink{})
}

func isOfType(t *testing.T, err error, want *errorx.Type) {
	t.Helper()
	assert.Assert(t, errorx.IsOfType(err, want), "%v", err)
}

// TestKeyNamesTheWorkspace checks whom a request counts for, and that neither a key that no
// workspace has nor none at all passes where one is needed.
func TestKeyNamesTheWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGuarded(t, store, store)
		defer s.stop()
		match := func(path string, key fleet.Key) (*fleet.Workspace, error) {
			_, workspace, err := s.Match(t.Context(), "h", path, key)
			return workspace, err
		}
		workspace, err := match("/safe/x", "key-1")
		assert.NilError(t, err)
		assert.Equal(t, workspace.Name, "one")
		for _, key := range []fleet.Key{"", "key", "key-10"} {
			_, err = match("/safe/x", key)
			isOfType(t, err, fleet.ErrNoAccess)
			_, err = s.Authorize(t.Context(), "h", key)
			isOfType(t, err, fleet.ErrNoAccess)
		}
		workspace, err = match("/open/x", "")
		assert.NilError(t, err)
		assert.Assert(t, workspace.IsAnonymous())
		workspace, err = match("/open/x", "key-2")
		assert.NilError(t, err)
		assert.Equal(t, workspace.Name, "two")
	})
}

// TestKeysAtCutOffGateway cuts a gateway off from the store. It must serve keys only for as long
// as a removal may take, never deny a key that may have been added since, and tell callers
// that others should be asked. Once it reads again it must say what holds.
func TestKeysAtCutOffGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGuarded(t, store, store)
		defer s.stop()
		match := func(key fleet.Key) error {
			_, _, err := s.Match(t.Context(), "h", "/safe/x", key)
			return err
		}
		store.SetFaults(fleetstore.Faults{Down: true})
		time.Sleep(2 * time.Second)
		assert.NilError(t, match("key-1"))
		err := match("key-3")
		isOfType(t, err, fleet.ErrRefused)
		assert.Assert(t, fleet.RetryAfterOf(err) > 0)
		time.Sleep(1200 * time.Millisecond)
		assert.NilError(t, match("key-1"))
		assert.Assert(t, !s.Ready(), "callers should go elsewhere before they are refused")
		time.Sleep(600 * time.Millisecond)
		err = match("key-1")
		isOfType(t, err, fleet.ErrRefused)
		assert.Assert(t, fleet.RetryAfterOf(err) > 0)
		assert.Assert(t, !s.Ready())
		_, _, err = s.Match(t.Context(), "h", "/open/x", "")
		assert.NilError(t, err, "no key is needed")
		store.SetFaults(fleetstore.Faults{})
		s.configure(2)
		time.Sleep(2 * time.Second)
		isOfType(t, match("key-1"), fleet.ErrNoAccess)
		assert.NilError(t, match("key-2"))
		assert.Assert(t, s.Ready())
	})
}

// TestSuspendedGateway suspends the instance of a gateway, for which no time passes. When it
// goes on, a key may have been removed, so that no request with a key may run before the
// next read; and a gateway that then cannot read must go on refusing.
func TestSuspendedGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGuarded(t, store, store)
		defer s.stop()
		_, _, err := s.Match(t.Context(), "h", "/safe/x", "key-1")
		assert.NilError(t, err)
		store.SetFaults(fleetstore.Faults{Down: true})
		s.suspended.Store(int64(4 * time.Second))
		_, _, err = s.Match(t.Context(), "h", "/safe/x", "key-1")
		isOfType(t, err, fleet.ErrRefused)
		assert.Assert(t, !s.Ready())
	})
}

// TestNoConfiguration starts a gateway that cannot read the configuration. It knows neither
// routes nor keys, so it must tell nobody that there are none.
func TestNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		store.SetFaults(fleetstore.Faults{Down: true})
		s := startGuarded(t, store, store)
		defer s.stop()
		_, _, err := s.Match(t.Context(), "h", "/safe/x", "key-1")
		isOfType(t, err, fleet.ErrRefused)
		_, err = s.Authorize(t.Context(), "h", "key-1")
		isOfType(t, err, fleet.ErrRefused)
	})
}

// TestKeyRemovedDuringRequest removes the key of a request whose first target has refused it
// after a wait, of one whose first target has let its stream break off, and of one that no
// other gateway may serve any more either. The next attempt must not begin. Where nothing
// has run the caller is told so; otherwise the outcome is unknown.
func TestKeyRemovedDuringRequest(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		first step
		want  *errorx.Type
	}{
		"not run": {"/safe/x", step{verdict: fleet.VerdictNotRun}, fleet.ErrNoAccess},
		"broken":  {"/r/x", step{events: events(1, 2), delay: time.Second, broken: true}, fleet.ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore(t)
				s := startGuarded(t, store, store, test.first, step{events: events(1, 3)})
				defer s.stop()
				s.sender.before = func() {
					if len(s.sender.sent) == 0 {
						s.configure(2)
						time.Sleep(time.Second)
					}
				}
				isOfType(t, s.serveWith(t.Context(), test.path, "key-1"), test.want)
				assert.Equal(t, len(s.sender.sent), 1)
			})
		})
	}
}

// TestRequestOfRemovedKeyThatWaited lets a gateway match a request, hear that its key was
// removed, and only then begin to serve it.
func TestRequestOfRemovedKeyThatWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGuarded(t, store, store, step{events: events(1, 3)})
		defer s.stop()
		route, workspace, err := s.Match(t.Context(), "h", "/safe/x", "key-1")
		assert.NilError(t, err)
		s.configure(2)
		time.Sleep(time.Second)
		r := &fleet.Request{ID: "r1", Method: http.MethodPost, Host: "h", URI: "/x", Header: http.Header{}, Key: "key-1", Workspace: workspace}
		isOfType(t, s.Serve(t.Context(), route, r, &sink{}), fleet.ErrNoAccess)
		assert.Equal(t, len(s.sender.sent), 0)
	})
}

// TestJobsOfWorkspaces has each workspace ask for the other's job. It must get what a job
// that does not exist gets, and must not be able to end it; the job's own workspace may, and
// may send it again. Jobs of an earlier build belong to none, and all may use them.
func TestJobsOfWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGuarded(t, store, store)
		defer s.stop()
		submit := func(w *fleet.Workspace, id string) error {
			return s.Submit(t.Context(), w, routes["jobs"], "/j/1", job(id, 1))
		}
		assert.NilError(t, submit(one, "job"))
		assert.NilError(t, submit(one, "job"), "sent again")
		isOfType(t, submit(two, "job"), fleet.ErrMalformed)
		record, err := worklog.NewWriter("earlier").Record(worklog.Entry{Accept: &worklog.Accept{Job: *job("old", 1), Route: "jobs", Path: "/j/1"}})
		assert.NilError(t, err)
		_, err = store.Append(t.Context(), fleet.TopicWork, fleet.AnyOffset, []fleet.Record{record})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		use := func(w *fleet.Workspace, id string) (failures []error) {
			_, err := s.Results(t.Context(), w, id, 0, 0)
			failures = append(failures, err)
			_, err = s.ItemBody(t.Context(), w, id, "i0")
			failures = append(failures, err, s.IsAccepted(t.Context(), w, "h", id), s.CancelJob(t.Context(), w, id))
			return failures
		}
		for _, err := range append(use(two, "job"), use(fleet.Anonymous, "job")...) {
			isOfType(t, err, fleet.ErrUnknownJob)
		}
		for _, err := range append(use(one, "job"), use(two, "old")...) {
			assert.NilError(t, err)
		}
	})
}

// TestQuotaOfWorkspaces fills one workspace's quota of waiting tokens. That must not take
// room from another workspace on the same route.
func TestQuotaOfWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGuarded(t, store, store)
		defer s.stop()
		submit := func(w *fleet.Workspace, id string) error {
			return s.Submit(t.Context(), w, routes["jobs"], "/j/1", job(id, 9))
		}
		assert.NilError(t, submit(one, "job1"))
		time.Sleep(time.Second)
		isOfType(t, submit(one, "job2"), fleet.ErrQuotaExceeded)
		assert.NilError(t, submit(two, "job3"))
	})
}
