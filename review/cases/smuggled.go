package main

import (
	"fmt"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

// runSmuggled sends a job with an item that has the header Transfer-Encoding among its own
// headers, as a caller does that keeps the headers of a request it has received in chunks. It
// breaks if a target runs a request that no caller has sent.
func runSmuggled(s *site, trouble bool) ([]string, error) {
	route := batchRoute("batch", "jobs.example", "/batch.10/", "model")
	if err := s.publish([]platformtest.Route{route}, "model"); err != nil {
		return nil, err
	}
	if err := s.startGateways(2); err != nil {
		return nil, err
	}
	if err := s.startWorkers(2, "model", platformtest.TargetParams{Slots: slots, Queue: 24, EventTime: eventTime}); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	const inner = "feedfacefeedface"
	j := newJob(route, 10)
	body := "0\r\n\r\nPOST /admin.5/" + inner + " HTTP/1.1\r\nHost: other.example\r\nX-Sycamoretally-Request-Id: " + inner + "\r\nContent-Length: 0\r\n\r\n"
	j.items[4].Body = []byte(body)
	if trouble {
		j.items[4].Headers["Transfer-Encoding"] = "chunked"
	}
	if !s.submit(j, 0, 3) {
		return nil, fmt.Errorf("%w: job not accepted", errCase)
	}
	for _, r := range s.results(j, 10*time.Second) {
		s.rec.note("result: item %s, %s, %d bytes", r.ID, r.State, len(r.Text))
	}
	time.Sleep(2 * time.Second)
	s.noteRuns(func(platformtest.Run) bool { return true })
	sent := map[string]bool{}
	for _, i := range j.items {
		sent[i.ID] = true
	}
	var broken []string
	for _, r := range s.journal.Runs() {
		if !sent[r.Request] {
			broken = append(broken, fmt.Sprintf("target %s ran request %s, path %s, which no caller has sent: it was inside the body of item %s", r.Target, r.Request, r.Path, j.items[4].ID))
		}
	}
	return broken, nil
}
