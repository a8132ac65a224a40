package load

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/settings"
)

func TestScenarioFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../scenarios/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		_, err := LoadScenario(file)
		assert.NilError(t, err, file)
	}
}

func TestScenarioFaults(t *testing.T) {
	const good = "duration = \"1s\"\n[[policy]]\nname = \"a\"\n"
	tests := map[string]string{
		"no duration":    "[[policy]]\nname = \"a\"\n",
		"no policy":      "duration = \"1s\"\n",
		"unknown key":    "bogus = 1\n" + good,
		"unknown policy": good + "settings = { routing = \"dice\" }\n",
		"no rate":        good + "[[requests]]\nname = \"q\"\nservice = \"drafting\"\n",
		"flat skew":      good + "[[requests]]\nname = \"q\"\nservice = \"drafting\"\nrate = 1.0\nprefixes = 4\nskew = 1.0\n",
		"unknown fault":  good + "[[fault]]\nkind = \"flood\"\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseScenario([]byte(text))
			assert.Assert(t, errorx.IsOfType(err, ErrScenario), "%v", err)
		})
	}
}

// TestScenarioFaultsNameTheKey lists every unknown key.
func TestScenarioFaultsNameTheKey(t *testing.T) {
	_, err := ParseScenario([]byte("bogus = 1\nduration = \"1s\"\n[[policy]]\nname = \"a\"\nodd = 2\n"))
	assert.ErrorContains(t, err, "bogus: unknown key")
	assert.ErrorContains(t, err, "policy.odd: unknown key")
}

func TestArrivalsAreReproducible(t *testing.T) {
	data, err := os.ReadFile("../scenarios/nairobi.toml")
	assert.NilError(t, err)
	s, err := ParseScenario(data)
	assert.NilError(t, err)
	first, second := Arrivals(s, false), Arrivals(s, false)
	assert.DeepEqual(t, first, second)
	s.Seed++
	other := Arrivals(s, false)
	assert.Assert(t, first[0].At != other[0].At)
	mean := 0.0
	for _, r := range s.Requests {
		quiet := duration(s.Duration).Seconds()
		if r.BurstEvery > 0 {
			burst := quiet * float64(r.BurstTime) / float64(r.BurstEvery)
			mean += r.BurstRate * burst
			quiet -= burst
		}
		mean += r.Rate * quiet
	}
	assert.Assert(t, float64(len(first)) > mean*0.9 && float64(len(first)) < mean*1.1, "%d arrivals, mean %v", len(first), mean)
}

func TestLongRequestsCanBeLeftOut(t *testing.T) {
	s := &Scenario{Seed: 1, Duration: settings.Duration(10 * time.Second), Requests: []Requests{
		{Name: "q", Service: "drafting", Rate: 100, Tokens: 2, LongShare: 0.1, LongFactor: 50},
	}}
	with, without := Arrivals(s, false), Arrivals(s, true)
	long := 0
	for _, a := range with {
		if a.Long {
			assert.Equal(t, a.Tokens, 100)
			long++
		}
	}
	assert.Assert(t, long > 0)
	assert.Equal(t, len(with)-long, len(without))
}

// TestNetwork sends bytes between two data centres: they come late and whole,
// not at all while one is cut off, and new dials fail then.
func TestNetwork(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	const delay = 20 * time.Millisecond
	n := NewNetwork(delay)
	n.SetDataCentre(l.Addr().String(), "b")
	conn, err := n.DialFrom("a")(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	peer, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = peer.Close() }()
	sent := time.Now()
	_, err = conn.Write([]byte("ping"))
	assert.NilError(t, err)
	buf := make([]byte, 4)
	_, err = peer.Read(buf)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(sent) >= delay)
	assert.Equal(t, string(buf), "ping")
	n.Isolate("b")
	ctx, cancel := context.WithTimeout(t.Context(), delay)
	defer cancel()
	_, err = n.DialFrom("a")(ctx, "tcp", l.Addr().String())
	assert.Assert(t, err != nil)
}
