package promises

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
)

// removeService deletes the service from the configuration and waits until every entry has
// read that.
func removeService(t *testing.T, site *demo.Site, c *client.Client, name string) {
	t.Helper()
	services, err := c.Objects(t.Context(), string(protocol.KindService), name)
	assert.NilError(t, err)
	assert.Equal(t, len(services), 1)
	gone := protocol.Object{Kind: protocol.KindService, Name: name, Base: services[0].Version, Deleted: true}
	_, err = c.Apply(t.Context(), "operator", []protocol.Object{gone})
	assert.NilError(t, err)
	eventually(t, 5*time.Second, func() error {
		for _, e := range site.Entries {
			if e.Config().Service(name) != nil {
				return protocol.ErrBusy.New("an entry still has the service")
			}
		}
		return nil
	})
}

// TestRemovedServiceDeniesNoAcceptedJob removes the service of a job that is done. What was
// accepted must not be denied by the present configuration: the same submission must return
// the same job, at each entry, and the job, its results and its end must stay readable.
func TestRemovedServiceDeniesNoAcceptedJob(t *testing.T) {
	t.Parallel()
	site, c := startInProcess(t, demo.DefaultLayout())
	job := submitJob(t, c, "review", 3, 5)
	results := awaitJob(t, c, job, time.Minute)
	file, err := c.Upload(t.Context(), []byte(`{"custom_id":"later","method":"POST","url":"/v1/chat/completions","body":{"model":"drafting","messages":[{"role":"user","content":"x"}]}}`))
	assert.NilError(t, err)
	removeService(t, site, c, "drafting")
	for _, entry := range site.Client.Entries {
		one := client.New(settings.Client{Entries: []string{entry}, CallerKey: demo.CallerKey})
		t.Cleanup(one.Close)
		before, err := one.Job(t.Context(), job)
		assert.NilError(t, err)
		again, err := one.Submit(t.Context(), before.InputFileID, "24h", "review")
		assert.NilError(t, err, "an accepted job is denied when it comes again")
		assert.Equal(t, again.ID, job)
		_, err = one.Submit(t.Context(), file, "24h", "new")
		assert.Assert(t, errorx.IsOfType(err, protocol.ErrNotFound), "a new job has no service: %v", err)
		var read bytes.Buffer
		assert.NilError(t, one.Results(t.Context(), job, &read))
		assert.Equal(t, strings.Count(read.String(), "\n"), strings.Count(results, "\n"))
		_, err = one.CancelJob(t.Context(), job)
		assert.NilError(t, err)
	}
}

// TestOutageDeniesNoJob asks an entry for a job that it does not know while it cannot read
// the log, and submits one for a file that it does not know. Another entry may have accepted
// them just before: the entry must not say that they do not exist.
func TestOutageDeniesNoJob(t *testing.T) {
	t.Parallel()
	site, c := startInProcess(t, demo.DefaultLayout())
	for _, p := range site.Paths {
		p.Set(logservice.PathDown)
	}
	_, err := c.Job(t.Context(), "job-unread")
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrBusy), "%v", err)
	_, err = c.Submit(t.Context(), "file-unread", "24h", "key")
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrBusy), "%v", err)
	for _, p := range site.Paths {
		p.Set(logservice.PathOpen)
	}
	eventually(t, 10*time.Second, func() error {
		_, err := c.Job(t.Context(), "job-unread")
		if !errorx.IsOfType(err, protocol.ErrNotFound) {
			return protocol.ErrBusy.Wrap(err, "the log can be read again")
		}
		return nil
	})
	_, err = c.Submit(t.Context(), "file-unread", "24h", "key")
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrNotFound), "%v", err)
}

// TestOutageDeniesNoService calls a service that an entry does not know while it has not read
// the configuration for longer than a change may take. The operator may have added the service
// meanwhile: the entry must not say that it does not exist.
func TestOutageDeniesNoService(t *testing.T) {
	t.Parallel()
	site, c := startInProcess(t, demo.DefaultLayout())
	call := func() error {
		_, err := c.Call(t.Context(), "added", http.MethodGet, "/", nil, client.CallOptions{Key: protocol.NewID()})
		return err
	}
	err := call()
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrNotFound), "%v", err)
	for _, p := range site.Paths {
		p.Set(logservice.PathDown)
	}
	<-time.After(inForceLimit + time.Second)
	err = call()
	assert.Assert(t, err != nil && !errorx.IsOfType(err, protocol.ErrNotFound), "%v", err)
	assert.Equal(t, protocol.OutcomeOf(err), protocol.OutcomeNotRun)
	for _, p := range site.Paths {
		p.Set(logservice.PathOpen)
	}
	eventually(t, 10*time.Second, func() error {
		if err := call(); !errorx.IsOfType(err, protocol.ErrNotFound) {
			return protocol.ErrBusy.New("the configuration can be read again: %v", err)
		}
		return nil
	})
}
