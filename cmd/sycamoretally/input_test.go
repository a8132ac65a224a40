package main

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
)

func runCommand(args ...string) (string, error) {
	var out strings.Builder
	root := rootCommand()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestSettingsCheckReportsEveryFault(t *testing.T) {
	tests := map[string]struct {
		text   string
		faults []string
	}{
		"syntax":       {"role = ", []string{"line 1"}},
		"no role":      {"", []string{"role: is missing"}},
		"unknown keys": {"role = \"client\"\nbogus = 1\n[client]\nentries = [\"http://127.0.0.1:1\"]\nother = 2", []string{"bogus: unknown key", "client.other: unknown key"}},
		"duplicate address": {`role = "sidecar"
[process]
instance = "a"
data_centre = "dc"
peer_secret = "s"
http = "127.0.0.1:4001"
peer = "127.0.0.1:4001"
[platform]
log = "http://127.0.0.1:4002"
instances = "http://localhost:4003"
[[target]]
name = "t"
type = "engine"
url = "http://127.0.0.1:4004"
slots = -1`, []string{"process.peer: is the same address as process.http", "platform.instances: must name its host by an IP address", "target[0].slots: must be above zero"}},
		"bad duration": {"role = \"client\"\n[process]\ndrain_timeout = \"soon\"", []string{"drain_timeout"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := runCommand("settings", "check", writeFile(t, test.text))
			assert.Assert(t, errorx.IsOfType(err, settings.ErrSettings), "%v", err)
			assert.Equal(t, exitCode(err), exitFailed)
			for _, fault := range test.faults {
				assert.Assert(t, is.Contains(err.Error(), fault))
			}
		})
	}
}

// TestUnreachableLog checks that an entry refuses changes as not run while the log is
// unavailable.
func TestUnreachableLog(t *testing.T) {
	site, err := demo.Start(demo.Layout{Entries: 1, Slots: 1})
	t.Cleanup(site.Close)
	assert.NilError(t, err)
	site.Log.SetFaults(logservice.Faults{Outage: true})
	c := client.New(site.Client)
	defer c.Close()
	_, err = c.Apply(t.Context(), "test", []protocol.Object{{Kind: protocol.KindDrain, Name: "d", Drain: &protocol.Drain{}}})
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrLogUnavailable), "%v", err)
	assert.Equal(t, exitCode(err), exitNotRun)
}

// TestAddressInUse checks that a stand-in reports a listen address that is in use.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	err = (&standIn{address: l.Addr().String()}).Start()
	assert.Assert(t, errorx.IsOfType(err, settings.ErrSettings), "%v", err)
}

// TestBadRequests checks that each invalid request gets a typed problem with the
// outcome not_run, and that none reaches a target.
func TestBadRequests(t *testing.T) {
	site, err := demo.Start(demo.Layout{Entries: 1, Services: 1, Slots: 1})
	t.Cleanup(site.Close)
	assert.NilError(t, err)
	c := client.New(site.Client)
	defer c.Close()
	ctx := t.Context()
	_, err = c.Apply(ctx, "test", []protocol.Object{
		{Kind: protocol.KindService, Name: "booking", Service: &protocol.Service{Type: protocol.ServicePlain, Selector: protocol.Selector{"role": "booking"}}},
		{Kind: protocol.KindService, Name: "drafting", Service: &protocol.Service{Type: protocol.ServiceModel, Selector: protocol.Selector{"role": "drafting"}}},
	})
	assert.NilError(t, err)
	large := make([]byte, 2<<20)
	upload := func(text string) error {
		_, err := c.Upload(ctx, []byte(text))
		return err
	}
	call := func(body []byte, key string) error {
		_, err := c.Call(ctx, "booking", http.MethodPost, "/bookings", body, client.CallOptions{Key: key})
		return err
	}
	good := `{"custom_id":"a","body":{"model":"drafting","messages":[{"role":"user","content":"x"}]}}` + "\n"
	tests := map[string]struct {
		err    error
		kind   *errorx.Type
		detail string
	}{
		"body too large":     {call(large, "k"), protocol.ErrTooLarge, "above"},
		"missing key":        {call([]byte("{}"), ""), protocol.ErrKeyRequired, "Idempotency-Key"},
		"malformed line":     {upload(good + "{oops\n"), protocol.ErrBadRequest, "line 2"},
		"duplicate line":     {upload(good + good), protocol.ErrBadRequest, "line 2"},
		"empty file":         {upload("\n"), protocol.ErrBadRequest, "no lines"},
		"line without model": {upload(`{"custom_id":"a","body":{}}`), protocol.ErrBadRequest, "line 1"},
	}
	_, unknown := c.Chat(ctx, &protocol.ChatRequest{Model: "nobody", Messages: []protocol.ChatMessage{{Content: "x"}}}, client.CallOptions{}, nil)
	assert.Assert(t, errorx.IsOfType(unknown, protocol.ErrNotFound), "%v", unknown)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, errorx.IsOfType(test.err, test.kind), "%v", test.err)
			assert.Equal(t, protocol.OutcomeOf(test.err), protocol.OutcomeNotRun)
			assert.Assert(t, is.Contains(protocol.ProblemOf(test.err).Detail, test.detail))
		})
	}
	assert.Equal(t, len(site.Services[0].Runs()), 0)
}

// TestWrongKeys checks that the operator, caller and attempt interfaces refuse requests
// with a wrong key or none.
func TestWrongKeys(t *testing.T) {
	site, err := demo.Start(demo.Layout{Entries: 1, Engines: 1, Slots: 1})
	t.Cleanup(site.Close)
	assert.NilError(t, err)
	wrong := site.Client
	wrong.OperatorKey, wrong.CallerKey = "x", "y"
	c := client.New(wrong)
	defer c.Close()
	_, err = c.Status(t.Context())
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrUnauthorized), "%v", err)
	_, err = c.Result(t.Context(), "k")
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrUnauthorized), "%v", err)
	resp, err := (&http.Client{Timeout: time.Second}).Post("http://"+site.SidecarHTTP(0)+"/attempts", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	_ = resp.Body.Close()
}
