package promises

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
)

// inForceLimit is the time within which an accepted change must be in force in
// every process.
const inForceLimit = 5 * time.Second

func configurationLayout() demo.Layout {
	l := demo.DefaultLayout()
	l.Engines, l.Services = 7, 1
	l.Engine = engine.Params{Width: 8, TokenTime: time.Millisecond, CacheTokens: 4096, RestartTime: time.Second}
	return l
}

// observer samples the configuration versions in force in every process of a site.
type observer struct {
	site *demo.Site
	mu   sync.Mutex
	seen []history.Observation
}

func (o *observer) sample(objects []string) {
	for i, sc := range o.site.Sidecars {
		for _, name := range objects {
			at := time.Now()
			object, _ := sc.Config().Lookup(protocol.KindLabel, name)
			o.add(history.Observation{Process: fmt.Sprint("sidecar ", i), Object: name, Version: object.Version, At: at})
		}
	}
	for i, en := range o.site.Entries {
		for _, name := range objects {
			at := time.Now()
			object, _ := en.Config().Lookup(protocol.KindLabel, name)
			o.add(history.Observation{Process: fmt.Sprint("entry ", i), Object: name, Version: object.Version, At: at})
		}
	}
}

func (o *observer) add(seen history.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen = append(o.seen, seen)
}

func (o *observer) processes() []string {
	var names []string
	for i := range o.site.Sidecars {
		names = append(names, fmt.Sprint("sidecar ", i))
	}
	for i := range o.site.Entries {
		names = append(names, fmt.Sprint("entry ", i))
	}
	return names
}

// operator changes objects through one entry, in a race with other operators, and
// records the answers.
type operator struct {
	id       int
	client   *client.Client
	random   *rand.Rand
	recorder *history.Recorder
	known    map[string]protocol.Position
	accepted []history.Observation
}

func (p *operator) change(t *testing.T, name string) {
	in := history.ConfigInput{Object: name, Base: p.known[name]}
	o := protocol.Object{Kind: protocol.KindLabel, Name: name, Base: in.Base, Label: &protocol.Label{
		Selector: protocol.Selector{"unit": "none"}, Set: protocol.Labels{"by": fmt.Sprint(p.id, p.random.Int())},
	}}
	op := p.recorder.Invoke(p.id, in)
	answer, err := p.client.Apply(t.Context(), fmt.Sprint("operator-", p.id), []protocol.Object{o})
	out := configOutput(answer.Version, err)
	op.Return(out)
	switch {
	case out.Accepted != 0:
		p.known[name] = out.Accepted
		p.accepted = append(p.accepted, history.Observation{Object: name, Version: out.Accepted, At: time.Now()})
	case out.Current != 0:
		p.known[name] = out.Current
	}
}

func configOutput(version protocol.Position, err error) history.ConfigOutput {
	conflict := protocol.ConflictOf(err)
	switch {
	case err == nil:
		return history.ConfigOutput{Accepted: version}
	case conflict != nil:
		return history.ConfigOutput{Current: conflict.Current}
	case protocol.OutcomeOf(err) == protocol.OutcomeNotRun:
		return history.ConfigOutput{NotRun: true}
	default:
		return history.ConfigOutput{Unknown: true}
	}
}

// TestConfigurationUnderFaults lets operators race on two objects through both
// entries while append answers of the log are lost, the log is slow or down, and
// single processes are disconnected from it.
func TestConfigurationUnderFaults(t *testing.T) {
	t.Parallel()
	const operatorCount, changes = 6, 25
	objects := []string{"one", "two"}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			site, _ := startInProcess(t, configurationLayout())
			recorder := history.NewRecorder()
			watch := &observer{site: site}
			stop := make(chan struct{})
			var watching, racing sync.WaitGroup
			watching.Go(func() {
				for {
					watch.sample(objects)
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			})
			site.Paths["sidecar-b"].Set(logservice.PathDown)
			site.Paths["sidecar-c"].Set(logservice.PathUnresponsive)
			operators := make([]*operator, operatorCount)
			for i := range operators {
				entries := []string{site.Client.Entries[i%len(site.Client.Entries)]}
				c := client.New(settings.Client{Entries: entries, OperatorKey: demo.OperatorKey})
				t.Cleanup(c.Close)
				operators[i] = &operator{
					id: i, client: c, random: rand.New(rand.NewPCG(seed, uint64(i))), recorder: recorder, known: map[string]protocol.Position{},
				}
				racing.Go(func() {
					for n := range changes {
						if i == 0 {
							setLogFault(site, operators[0].random, n)
						}
						operators[i].change(t, objects[operators[i].random.IntN(len(objects))])
					}
				})
			}
			racing.Wait()
			site.Log.SetFaults(logservice.Faults{})
			site.Paths["entry-b"].Set(logservice.PathDown)
			<-time.After(inForceLimit + time.Second)
			close(stop)
			watching.Wait()
			assert.NilError(t, history.Check(history.ConfigModel(), recorder.Operations(history.ConfigOutput{Unknown: true})))
			assert.NilError(t, history.CheckMonotonic(watch.seen))
			total := 0
			for _, p := range operators {
				for _, a := range p.accepted {
					total++
					assert.NilError(t, history.CheckInForce(a, watch.processes(), watch.seen, inForceLimit))
				}
			}
			assert.Assert(t, total > 0)
			t.Logf("seed %d: %d changes, %d accepted, %d observations", seed, operatorCount*changes, total, len(watch.seen))
		})
	}
}

// TestChangeThroughLaggingEntry sends a change to an entry that has not yet read
// the version on which the change is based: the entry must not accept or reject it
// by its own state.
func TestChangeThroughLaggingEntry(t *testing.T) {
	t.Parallel()
	site, _ := startInProcess(t, demo.DefaultLayout())
	recorder := history.NewRecorder()
	known := map[string]protocol.Position{}
	operators := make([]*operator, len(site.Client.Entries))
	for i, entry := range site.Client.Entries {
		c := client.New(settings.Client{Entries: []string{entry}, OperatorKey: demo.OperatorKey})
		t.Cleanup(c.Close)
		operators[i] = &operator{id: i, client: c, random: rand.New(rand.NewPCG(1, uint64(i))), recorder: recorder, known: known}
	}
	site.Paths["entry-b"].Set(logservice.PathUnresponsive)
	for range 3 {
		operators[0].change(t, "one")
	}
	operators[1].change(t, "one")
	site.Paths["entry-b"].Set(logservice.PathOpen)
	operators[1].change(t, "one")
	assert.NilError(t, history.Check(history.ConfigModel(), recorder.Operations(history.ConfigOutput{Unknown: true})))
	assert.Equal(t, len(operators[0].accepted), 3)
}

// setLogFault replaces the faults of the log by others chosen at random.
func setLogFault(site *demo.Site, random *rand.Rand, round int) {
	faults := []logservice.Faults{{}, {LoseAnswers: 2}, {DelayMillis: 20}, {Outage: true}, {LoseAnswers: 5, DelayMillis: 5}}
	chosen := faults[random.IntN(len(faults))]
	if round == 0 {
		chosen = logservice.Faults{}
	}
	site.Log.SetFaults(chosen)
	site.Paths["entry-b"].Set(logservice.PathState(random.IntN(2)))
}

// TestFreshProcessDuringOutage starts a sidecar while the log is unavailable to
// it: it must become ready with the whole configuration.
func TestFreshProcessDuringOutage(t *testing.T) {
	t.Parallel()
	for name, state := range map[string]logservice.PathState{"outage": logservice.PathOpen, "cut": logservice.PathDown, "silent": logservice.PathUnresponsive} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			layout := demo.DefaultLayout()
			site, c := startInProcess(t, layout)
			if name == "outage" {
				site.Log.SetFaults(logservice.Faults{Outage: true})
			}
			fresh, err := site.AddSidecar(layout, state)
			assert.NilError(t, err)
			objects, err := c.Objects(t.Context(), "", "")
			assert.NilError(t, err)
			eventually(t, inForceLimit, func() error {
				if err := checkReady("http://" + fresh.Address()); err != nil {
					return err
				}
				if have := fresh.Config().Objects(); len(have) != len(objects) || len(objects) == 0 {
					return protocol.ErrBusy.New("%d objects in force, want %d", len(have), len(objects))
				}
				return nil
			})
		})
	}
}

func checkReady(base string) error {
	resp, err := http.Get(base + "/readyz")
	if err != nil {
		return protocol.ErrNotSent.Wrap(err, "ready")
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return protocol.ErrBusy.New("/readyz returned status %d", resp.StatusCode)
	}
	return nil
}

// TestUnknownAgeFailsReadiness disconnects processes from the log: they must stay
// ready as long as entries confirm that they miss no records, and no longer.
func TestUnknownAgeFailsReadiness(t *testing.T) {
	t.Parallel()
	layout := demo.DefaultLayout()
	layout.MaxAge = 4 * time.Second
	site, _ := startInProcess(t, layout)
	sidecar := "http://" + site.SidecarHTTP(0)
	site.Paths["sidecar-a"].Set(logservice.PathUnresponsive)
	begun := time.Now()
	eventually(t, 4*layout.MaxAge, func() error {
		assert.NilError(t, checkReady(sidecar))
		if time.Since(begun) < 2*layout.MaxAge {
			return protocol.ErrBusy.New("the process must stay ready for longer")
		}
		return nil
	})
	for _, e := range site.Entries {
		_ = e.Kill()
	}
	site.Entries = nil
	for _, p := range site.Paths {
		p.Set(logservice.PathDown)
	}
	eventually(t, 4*layout.MaxAge, func() error {
		if err := checkReady(sidecar); !errorx.IsOfType(err, protocol.ErrBusy) {
			return protocol.ErrBusy.New("still ready: %v", err)
		}
		return nil
	})
}
