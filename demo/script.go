package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/standin/service"
)

// ErrDemo is the type of every step that did not come out right.
var ErrDemo = protocol.Errors.NewType("demo")

// Names of the demo's services and the number of its batch items.
const (
	modelService   = "drafting"
	bookingService = "booking"
	jobItems       = 200
	answerTokens   = 24
)

// Script plays the demo against a site.
type Script struct {
	Client *client.Client
	// BookingRuns reads how often each booking ran from the booking services themselves.
	BookingRuns func() (map[string]int, error)
	Out         io.Writer
	// InjectFault is called while a job is in progress; it may be nil.
	InjectFault func()
}

// Run plays every step and stops at the first that fails.
func (s *Script) Run(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"publish services", s.configure},
		{"wait for targets", s.awaitTargets},
		{"ask a question, streamed", s.askStreamed},
		{"book once, resend the booking", s.bookRepeatedly},
		{"refuse the key with another body", s.conflictKey},
		{"run a batch job of 200 items, two impossible", s.runJob},
		{"change the configuration, reject a stale change", s.changeConfig},
		{"drain a target by selector", s.drainUnit},
		{"cancel a second job", s.cancelJob},
	}
	for i, step := range steps {
		begun := time.Now()
		if err := step.run(ctx); err != nil {
			s.printf("[%d/%d] %s: FAILED: %v\n", i+1, len(steps), step.name, err)
			return err
		}
		s.printf("[%d/%d] %s: ok (%d ms)\n", i+1, len(steps), step.name, time.Since(begun).Milliseconds())
	}
	return nil
}

func (s *Script) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.Out, format, args...) }

// Prepare publishes the demo's services and waits until each has a target that
// is ready, where the site has targets for it.
func (s *Script) Prepare(ctx context.Context) error {
	if err := s.configure(ctx); err != nil {
		return err
	}
	return s.awaitTargets(ctx)
}

func (s *Script) configure(ctx context.Context) error {
	objects := []protocol.Object{
		{Kind: protocol.KindService, Name: modelService, Service: &protocol.Service{
			Type: protocol.ServiceModel, Selector: protocol.Selector{"role": "drafting"},
		}},
		{Kind: protocol.KindService, Name: bookingService, Service: &protocol.Service{
			Type: protocol.ServicePlain, Selector: protocol.Selector{"role": "booking"}, RepeatableMethods: []string{http.MethodGet},
		}},
	}
	var a entry.ApplyResponse
	err := retry(ctx, func() (err error) {
		a, err = s.Client.Apply(ctx, "demo", objects)
		return err
	})
	if err != nil {
		return err
	}
	s.printf("      configuration accepted at version %s\n", a.Version)
	return nil
}

// retry repeats f for a while as long as it fails with not_run: processes may
// still be starting.
func retry(ctx context.Context, f func() error) error {
	const limit, interval = 10 * time.Second, 50 * time.Millisecond
	deadline := time.Now().Add(limit)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		if protocol.OutcomeOf(err) != protocol.OutcomeNotRun {
			return err
		}
		time.Sleep(interval)
	}
}

func (s *Script) awaitTargets(ctx context.Context) error {
	return retry(ctx, func() error {
		status, err := s.Client.Status(ctx)
		if err != nil {
			return err
		}
		roles := map[string]int{}
		for _, t := range status.Targets {
			if t.State == "ready" {
				roles[t.Labels["role"]]++
			}
		}
		if len(roles) == 0 || roles["drafting"]+roles["booking"] < len(status.Targets) {
			return protocol.ErrNoTarget.New("ready so far: %v", roles)
		}
		s.printf("      ready targets: %v\n", roles)
		return nil
	})
}

// chat is a question whose answer engine.Answer knows.
func chat(text string, stream bool) *protocol.ChatRequest {
	return &protocol.ChatRequest{
		Model:     modelService,
		Messages:  []protocol.ChatMessage{{Role: "user", Content: text}},
		MaxTokens: answerTokens,
		Stream:    stream,
	}
}

func (s *Script) askStreamed(ctx context.Context) error {
	const question = "May a house from 1931 join the heat network?"
	tokens := 0
	var a *client.Answer
	err := retry(ctx, func() (err error) {
		a, err = s.Client.Chat(ctx, chat(question, true), client.CallOptions{}, func(string) { tokens++ })
		return err
	})
	if err != nil {
		return err
	}
	if want := engine.Answer(question, answerTokens); string(a.Body) != want {
		return ErrDemo.New("the answer is %q, not %q", a.Body, want)
	}
	s.printf("      %d tokens, retained=%t, key=%s\n", tokens, a.Retained, a.Key)
	again, err := s.Client.Result(ctx, a.Key)
	if err != nil {
		return err
	}
	if !strings.Contains(string(again.Body), engine.Answer(question, answerTokens)) {
		return ErrDemo.New("the stored answer differs: %s", again.Body)
	}
	return nil
}

const bookingKey = "booking-of-slot-17"

func (s *Script) bookRepeatedly(ctx context.Context) error {
	var first service.Booking
	for n := range 3 {
		var a *client.Answer
		err := retry(ctx, func() (err error) {
			a, err = s.Client.Call(ctx, bookingService, http.MethodPost, "/bookings", []byte(`{"slot":"17"}`), client.CallOptions{Key: bookingKey})
			return err
		})
		if err != nil {
			return err
		}
		var b service.Booking
		if err := json.Unmarshal(a.Body, &b); err != nil {
			return ErrDemo.New("the booking's answer is %q", a.Body)
		}
		if n == 0 {
			first = b
		}
		if b != first {
			return ErrDemo.New("resend %d got %+v, the first got %+v", n, b, first)
		}
	}
	runs, err := s.BookingRuns()
	if err != nil {
		return err
	}
	for key, n := range runs {
		if n != 1 {
			return ErrDemo.New("the booking %s ran %d times", key, n)
		}
	}
	s.printf("      slot %s booked, sent 3 times, ran once\n", first.Slot)
	return nil
}

func (s *Script) conflictKey(ctx context.Context) error {
	_, err := s.Client.Call(ctx, bookingService, http.MethodPost, "/bookings", []byte(`{"slot":"18"}`), client.CallOptions{Key: bookingKey})
	if !errorx.IsOfType(err, protocol.ErrKeyConflict) {
		return ErrDemo.New("expected a key conflict, got %v", err)
	}
	_, err = s.Client.Call(ctx, bookingService, http.MethodPost, "/bookings", []byte(`{"slot":"18"}`), client.CallOptions{})
	if !errorx.IsOfType(err, protocol.ErrKeyRequired) {
		return ErrDemo.New("expected a demand for a key, got %v", err)
	}
	return nil
}

// jobFile builds a batch file whose items 50 and 150 can never be done.
func jobFile(prefix string, items, tokens int) []byte {
	var file bytes.Buffer
	for i := range items {
		text := fmt.Sprintf("%s %d", prefix, i)
		if i == 50 || i == 150 {
			text += " " + engine.MarkerImpossible
		}
		request := chat(text, false)
		request.MaxTokens = tokens
		body, _ := json.Marshal(request)
		line, _ := json.Marshal(map[string]any{"custom_id": fmt.Sprintf("item-%d", i), "body": json.RawMessage(body)})
		file.Write(append(line, '\n'))
	}
	return file.Bytes()
}

func (s *Script) submit(ctx context.Context, file []byte) (entry.JobResponse, error) {
	var j entry.JobResponse
	err := retry(ctx, func() error {
		id, err := s.Client.Upload(ctx, file)
		if err != nil {
			return err
		}
		j, err = s.Client.Submit(ctx, id, "24h", "")
		return err
	})
	return j, err
}

func (s *Script) runJob(ctx context.Context) error {
	const tokens = 8
	j, err := s.submit(ctx, jobFile("Draft a note on estate", jobItems, tokens))
	if err != nil {
		return err
	}
	again, err := s.submit(ctx, jobFile("Draft a note on estate", jobItems, tokens))
	if err != nil || again.ID != j.ID {
		return ErrDemo.New("the resent job is %s (%v), the first %s", again.ID, err, j.ID)
	}
	if s.InjectFault != nil {
		s.awaitProgress(ctx, j.ID)
		s.InjectFault()
	}
	if j, err = s.awaitJob(ctx, j.ID); err != nil {
		return err
	}
	if j.Counts.Completed != jobItems-2 || j.Counts.Failed != 2 {
		return ErrDemo.New("the job ended with %+v", j.Counts)
	}
	return s.checkResults(ctx, j.ID, tokens)
}

// awaitProgress waits until the first items are done.
func (s *Script) awaitProgress(ctx context.Context, id string) {
	const interval = 5 * time.Millisecond
	for ctx.Err() == nil {
		if j, err := s.Client.Job(ctx, id); err == nil && j.Counts.Completed > 0 {
			return
		}
		time.Sleep(interval)
	}
}

func (s *Script) awaitJob(ctx context.Context, id string) (entry.JobResponse, error) {
	const interval = 250 * time.Millisecond
	last := -1
	for {
		j, err := s.Client.Job(ctx, id)
		if err != nil && protocol.OutcomeOf(err) == protocol.OutcomeFailed {
			return j, err
		}
		if err == nil && j.Status != "running" {
			return j, nil
		}
		if done := j.Counts.Completed + j.Counts.Failed; done != last && err == nil {
			s.printf("      %d of %d items\n", done, j.Counts.Total)
			last = done
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return j, ErrDemo.New("the job did not end in time: %+v", j.Counts)
		}
	}
}

func (s *Script) checkResults(ctx context.Context, id string, tokens int) error {
	var out bytes.Buffer
	if err := s.Client.Results(ctx, id, &out); err != nil {
		return err
	}
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	if len(lines) != jobItems {
		return ErrDemo.New("%d results of %d items", len(lines), jobItems)
	}
	for i, data := range lines {
		var line entry.ResultLine
		if err := json.Unmarshal(data, &line); err != nil {
			return ErrDemo.New("result %d is %q", i, data)
		}
		impossible := i == 50 || i == 150
		want := engine.Answer(fmt.Sprintf("Draft a note on estate %d", i), tokens)
		switch {
		case line.CustomID != fmt.Sprintf("item-%d", i):
			return ErrDemo.New("result %d is of %s", i, line.CustomID)
		case impossible != (line.Outcome == protocol.OutcomeFailed):
			return ErrDemo.New("result %d has the outcome %s", i, line.Outcome)
		case !impossible && line.Text != want:
			return ErrDemo.New("result %d is %q, not %q", i, line.Text, want)
		}
	}
	s.printf("      %d results read back, each the answer to its own item\n", len(lines))
	return nil
}

func (s *Script) changeConfig(ctx context.Context) error {
	objects, err := s.Client.Objects(ctx, string(protocol.KindService), modelService)
	if err != nil || len(objects) != 1 {
		return ErrDemo.New("the service is not there: %v", err)
	}
	o := objects[0]
	o.Base = o.Version
	o.Service.TimeoutMillis = 20_000
	if _, err := s.Client.Apply(ctx, "demo", []protocol.Object{o}); err != nil {
		return err
	}
	_, err = s.Client.Apply(ctx, "demo", []protocol.Object{o})
	if !errorx.IsOfType(err, protocol.ErrVersionConflict) {
		return ErrDemo.New("a stale change was not rejected: %v", err)
	}
	s.printf("      stale change rejected: %s\n", protocol.ProblemOf(err).Detail)
	return nil
}

func (s *Script) drainUnit(ctx context.Context) error {
	drain := protocol.Object{Kind: protocol.KindDrain, Name: "unit-a", Drain: &protocol.Drain{Selector: protocol.Selector{"unit": "a"}}}
	if _, err := s.Client.Apply(ctx, "demo", []protocol.Object{drain}); err != nil {
		return err
	}
	err := retry(ctx, func() error {
		status, err := s.Client.Status(ctx)
		if err != nil {
			return err
		}
		for _, t := range status.Targets {
			if t.Labels["unit"] == "a" && t.State != "drained" {
				return protocol.ErrBusy.New("target %s is %s", t.Name, t.State)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	_, err = s.Client.Chat(ctx, chat("Is my case open?", false), client.CallOptions{}, nil)
	return err
}

func (s *Script) cancelJob(ctx context.Context) error {
	j, err := s.submit(ctx, jobFile("Draft a long schedule for orchestra", jobItems, 400))
	if err != nil {
		return err
	}
	if j, err = s.Client.CancelJob(ctx, j.ID); err != nil {
		return err
	}
	if j.Status != "cancelled" {
		return ErrDemo.New("the job is %s after its cancellation", j.Status)
	}
	again, err := s.Client.Job(ctx, j.ID)
	if err != nil || again.Status != "cancelled" {
		return ErrDemo.New("the cancelled job reads %s: %v", again.Status, err)
	}
	s.printf("      cancelled with %d of %d items done\n", again.Counts.Completed, again.Counts.Total)
	return nil
}
