package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
)

// marker stands in every body and key that the test sends.
const marker = "marked7a1f"

// logLine is one event: a header, a quoted message, and key=value pairs.
var logLine = regexp.MustCompile(`^[IWEF]\d{4} \d\d:\d\d:\d\d\.\d+ +\d+ [\w.]+:\d+\] "[^"]*"( \w+=("(\\.|[^"\\])*"|[^" ]\S*|\{.*\}|\[.*\]|<.*>))*$`)

// TestLogsHoldNoBodiesOrKeys sends marked bodies and keys on good and bad ways,
// also while the log and a target are gone, at the highest level of logs.
func TestLogsHoldNoBodiesOrKeys(t *testing.T) {
	s := startExample(t, "strakvagen", "-v", "9")
	s.runUntil(contains("3 targets", "1 targets"), "apply", "-f", s.write("all.toml", allTargets), "--dry-run")
	s.run(0, "apply", "-f", s.path("objects.toml"))
	cs, err := settings.Load(s.path("client.toml"))
	assert.NilError(t, err)
	c := client.New(cs.Client)
	defer c.Close()
	sendMarked(t, c, "first")
	assert.NilError(t, s.site.SetFaults(s.site.Log, logservice.Faults{Outage: true}))
	sendMarked(t, c, "outage")
	assert.NilError(t, s.site.SetFaults(s.site.Log, logservice.Faults{}))
	assert.NilError(t, s.site.Engines[0].Kill())
	assert.NilError(t, s.site.Services[0].Kill())
	sendMarked(t, c, "gone")
	wrong := cs.Client
	wrong.CallerKey, wrong.OperatorKey = marker+"-caller", marker+"-operator"
	stranger := client.New(wrong)
	defer stranger.Close()
	sendMarked(t, stranger, "stranger")
	_, err = stranger.Status(t.Context())
	assert.Assert(t, err != nil)
	checkLogs(s)
}

const allTargets = `[[object]]
kind = "drain"
name = "all"
[object.drain]
selector = {}
[[object]]
kind = "drain"
name = "one"
[object.drain]
selector = { role = "booking" }
`

// sendMarked sends one request of each kind. Their outcomes do not matter.
func sendMarked(t *testing.T, c *client.Client, name string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	key := marker + "-key-" + name
	chat := &protocol.ChatRequest{Model: "note-writing", MaxTokens: 3, Messages: []protocol.ChatMessage{{Role: "user", Content: marker}}}
	_, _ = c.Chat(ctx, chat, client.CallOptions{Key: key}, nil)
	_, _ = c.Chat(ctx, chat, client.CallOptions{Key: key + "-async", Async: true}, nil)
	chat.Model = marker
	_, _ = c.Chat(ctx, chat, client.CallOptions{}, nil)
	body := fmt.Appendf(nil, `{"child": %q}`, marker)
	_, _ = c.Call(ctx, "booking", http.MethodPost, "/bookings", body, client.CallOptions{Key: key + "-call"})
	_, _ = c.Call(ctx, "booking", http.MethodPost, "/bookings", append(body, 'x'), client.CallOptions{Key: key + "-call"})
	_, _ = c.Call(ctx, "booking", http.MethodGet, "/bookings?child="+marker, nil, client.CallOptions{})
	_, _ = c.Result(ctx, key)
	line, err := json.Marshal(map[string]any{"custom_id": marker, "body": chatBody()})
	assert.NilError(t, err)
	_, _ = c.Upload(ctx, []byte("{"+marker))
	if file, err := c.Upload(ctx, append(line, '\n')); err == nil {
		_, _ = c.Submit(ctx, file, "1h", key+"-job")
	}
}

func chatBody() protocol.ChatRequest {
	return protocol.ChatRequest{Model: "note-writing", MaxTokens: 2, Messages: []protocol.ChatMessage{{Role: "user", Content: marker}}}
}

// checkLogs looks for the marker and for the site's keys in every process's
// output, and at the form of each line.
func checkLogs(s *session) {
	s.t.Helper()
	en := s.site.Entries[0].Settings
	secrets := append([]string{marker, en.Process.PeerSecret, en.Entry.Callers[0].Key}, en.Entry.OperatorKeys...)
	traced := 0
	for _, p := range s.site.All() {
		text := p.Log()
		assert.Assert(s.t, text != "", "%s logs nothing", p.Settings.Role)
		for line := range strings.Lines(text) {
			line = strings.TrimSuffix(line, "\n")
			for _, secret := range secrets {
				assert.Assert(s.t, !strings.Contains(line, secret), "%s logs %q: %s", p.Settings.Role, secret, line)
			}
			assert.Assert(s.t, logLine.MatchString(line), "%s logs a line of another form: %s", p.Settings.Role, line)
			if strings.Contains(line, `"request ended" trace=`) {
				traced++
			}
		}
	}
	assert.Assert(s.t, traced > 0, "no line of a request with its trace")
}
