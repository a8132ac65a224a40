package promises

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// binary is the program under test, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", strconv.Itoa(parallelTests)); err != nil {
		panic(err)
	}
	os.Exit(processtest.Main(&binary, m.Run))
}

// Limits of the sites that run concurrently: sites of separate processes, further
// such sites for tests that mostly wait for time to pass, and sites in this process.
const (
	maxProcessSites    = 4
	maxMostlyIdleSites = 3
	maxInProcessSites  = 3
)

// parallelTests is above the number of tests, so that a test that waits for a site
// of one kind does not delay tests of another kind: only the limits of sites bound
// the load.
const parallelTests = 128

var (
	processSites    = make(chan struct{}, maxProcessSites)
	mostlyIdleSites = make(chan struct{}, maxMostlyIdleSites)
	inProcessSites  = make(chan struct{}, maxInProcessSites)
)

// acquireSite waits until the test may start a site, and releases the site's slot at
// the end of the test.
func acquireSite(t *testing.T, sites chan struct{}) {
	sites <- struct{}{}
	t.Cleanup(func() { <-sites })
}

// startProcesses starts a site of separate processes and publishes its services.
func startProcesses(t *testing.T, layout processtest.Layout) (*processtest.Site, *client.Client) {
	t.Helper()
	return startProcessesIn(t, processSites, layout)
}

// startMostlyIdle is like startProcesses, for tests that mostly wait for time to
// pass.
func startMostlyIdle(t *testing.T, layout processtest.Layout) (*processtest.Site, *client.Client) {
	t.Helper()
	return startProcessesIn(t, mostlyIdleSites, layout)
}

func startProcessesIn(t *testing.T, sites chan struct{}, layout processtest.Layout) (*processtest.Site, *client.Client) {
	t.Helper()
	acquireSite(t, sites)
	site, err := processtest.Start(binary, t.TempDir(), layout)
	t.Cleanup(func() {
		site.Close()
		if t.Failed() {
			logProcesses(t, site)
		}
	})
	assert.NilError(t, err)
	return site, configure(t, site.Client)
}

func logProcesses(t *testing.T, site *processtest.Site) {
	for _, group := range [][]*processtest.Process{site.Entries, site.Sidecars} {
		for _, p := range group {
			t.Logf("%s:\n%s", p.Settings.Process.Instance, p.Log())
		}
	}
}

// startInProcess starts a site in this process and publishes its services.
func startInProcess(t *testing.T, layout demo.Layout) (*demo.Site, *client.Client) {
	t.Helper()
	acquireSite(t, inProcessSites)
	site, err := demo.Start(layout)
	t.Cleanup(site.Close)
	assert.NilError(t, err)
	return site, configure(t, site.Client)
}

// configure publishes the services "drafting" and "booking" and waits until a
// target of each that the site has is ready.
func configure(t *testing.T, s settings.Client) *client.Client {
	t.Helper()
	c := client.New(s)
	t.Cleanup(c.Close)
	script := demo.Script{Client: c, Out: testWriter{t}}
	assert.NilError(t, script.Prepare(t.Context()))
	return c
}

// testWriter is an io.Writer to the log of a test.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(data []byte) (int, error) {
	w.t.Logf("%s", data)
	return len(data), nil
}

// eventually polls check until it returns nil, and fails the test with its last
// error once the limit has passed.
func eventually(t *testing.T, limit time.Duration, check func() error) {
	t.Helper()
	const interval = 20 * time.Millisecond
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %v", limit, err)
		}
		<-time.After(interval)
	}
}

// chatRequest returns a chat request whose complete answer engine.Answer computes.
func chatRequest(text string, tokens int, stream bool) *protocol.ChatRequest {
	return &protocol.ChatRequest{
		Model:     "drafting",
		Messages:  []protocol.ChatMessage{{Role: "user", Content: text}},
		MaxTokens: tokens,
		Stream:    stream,
	}
}

// processesOf returns the site's entries and sidecars.
func processesOf(site *processtest.Site) []*processtest.Process {
	return append(append([]*processtest.Process(nil), site.Entries...), site.Sidecars...)
}

// replaceAll kills all entries and sidecars before it starts any of them again, so
// that no new process finds an old one.
func replaceAll(t *testing.T, site *processtest.Site) {
	t.Helper()
	all := processesOf(site)
	for _, p := range all {
		assert.NilError(t, p.Kill())
	}
	for _, p := range all {
		assert.NilError(t, p.Start())
	}
}
