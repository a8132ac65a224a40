package gateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/gateway"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// endAll marks all targets as ended: nothing listens at their addresses.
func (s *fixture) endAll() {
	for i := range 6 {
		s.ended.Store(fmt.Sprint("t", i), true)
	}
}

// TestTargetEndsSilently guards against an attempt that lasts until its deadline although its
// target has ended: a host that loses power closes no connection. A request that may not run
// again must end soon after, with an answer that does not promise that it has not run; one
// that may must go on at another target.
func TestTargetEndsSilently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), step{events: events(1, 1), silent: true})
		defer s.stop()
		s.endAll()
		begun := time.Now()
		_, err := s.serve(t.Context(), "stream")
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrOutcomeUnknown) && !errorx.IsOfType(err, fleet.ErrTimedOut), "%v", err)
		assert.Assert(t, time.Since(begun) <= 1500*time.Millisecond, "%v", time.Since(begun))
		assert.Equal(t, len(s.sender.sent), 1)
	})
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), step{silent: true}, step{events: events(1, 3)})
		defer s.stop()
		s.endAll()
		body, err := s.serve(t.Context(), "safe")
		assert.NilError(t, err)
		assert.Equal(t, body, fullStream)
		assert.Assert(t, s.sender.sent[0].Target.ID != s.sender.sent[1].Target.ID)
	})
}

// bornDecoder is a decoder of records of targets that read "SERVICE ADDRESS BORN".
type bornDecoder struct{ decoder }

// Target implements registry.Decoder.
func (bornDecoder) Target(r fleet.Record) (*fleet.Target, error) {
	target := &fleet.Target{ID: r.Key}
	if _, err := fmt.Sscan(string(r.Value), &target.Service, &target.Address, &target.StartUnixMillis); err != nil {
		return nil, fleet.ErrMalformed.Wrap(err, "target")
	}
	return target, nil
}

// TestForeignEntryEndsNoSilentStream guards against a stream of a sound target that is cut while the target
// is silent, since an entry with its address and a later start names a service that there is not: the
// entry of another writer. An entry of a service shows that the target has ended.
func TestForeignEntryEndsNoSilentStream(t *testing.T) {
	for service, want := range map[string]string{"unnamed": fullStream, "other": text(events(1, 1)...)} {
		synctest.Test(t, func(t *testing.T) {
			store := fleetstore.New()
			put := func(topic fleet.Topic, key, value string) {
				_, err := store.Append(t.Context(), topic, fleet.AnyOffset, []fleet.Record{{Key: key, Value: []byte(value)}})
				assert.NilError(t, err)
			}
			put(fleet.TopicConfiguration, "config", "1")
			put(fleet.TopicTargets, "t0", "llm a0 1000")
			services := []*fleet.Service{{Name: "llm"}, {Name: "other"}}
			s := &fixture{t: t, store: store, sender: &sender{steps: []step{{events: events(1, 3), gap: 3 * time.Second}}}}
			s.Gateway = gateway.New(gateway.Params{
				Node: &fleet.Node{Name: "gateway-1", GracePeriod: 8 * time.Second}, Store: store, Sender: s.sender,
				Decoder: bornDecoder{decoder{fleet.NewConfiguration(1, []*fleet.Route{routes["stream"]}, services, fleet.Limits{})}},
			})
			s.Start()
			defer s.stop()
			time.Sleep(time.Second)
			go func() {
				time.Sleep(500 * time.Millisecond)
				put(fleet.TopicTargets, "t1", service+" a0 2000")
			}()
			body, err := s.serve(t.Context(), "stream")
			assert.Equal(t, body, want, service)
			assert.Equal(t, err == nil, want == fullStream, "%v", err)
		})
	}
}
