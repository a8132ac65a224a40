package membership

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// member is one listed process.
type member struct {
	instance     backend.Instance
	lastReportAt time.Time
	leaving      bool
	polling      bool
	// polled is true once a question to the process has ended.
	polled bool
	// reachable is what the published table says.
	reachable bool
	reports   map[string]*report
	// mark names the newest report of the whole process.
	mark uint64
	// lastPollAt is when the last question was sent.
	lastPollAt time.Time
	// lastPollFailed is true where the last question was not answered.
	lastPollFailed bool
	// watched is true where the process is asked in every round although there
	// are many.
	watched bool
}

// report is the newest report of one target.
type report struct {
	protocol.TargetReport
	inFlight   *atomic.Int64
	receivedAt time.Time
}

// reportChange says how much a report differs from the one before.
type reportChange int

const (
	unchanged reportChange = iota
	loadChanged
	stateChanged
)

// replaceReports takes the reports of all targets of a process.
func (s *member) replaceReports(reports []protocol.TargetReport) reportChange {
	most := unchanged
	named := map[string]bool{}
	for _, r := range reports {
		named[r.Target] = true
		old := s.reports[r.Target]
		if old != nil && old.Boot == r.Boot && old.Seq > r.Seq {
			continue
		}
		most = max(most, s.updateReport(r))
	}
	for target := range s.reports {
		if !named[target] {
			delete(s.reports, target)
			most = stateChanged
		}
	}
	return most
}

// updateReport takes one report.
func (s *member) updateReport(r protocol.TargetReport) reportChange {
	old := s.reports[r.Target]
	if old == nil {
		s.reports[r.Target] = &report{TargetReport: r, inFlight: &atomic.Int64{}, receivedAt: time.Now()}
		return stateChanged
	}
	before := old.TargetReport
	old.TargetReport, old.receivedAt = r, time.Now()
	switch {
	case before.Boot != r.Boot, before.Leaving != r.Leaving, before.Healthy != r.Healthy,
		before.Slots != r.Slots, !maps.Equal(before.Labels, r.Labels):
		return stateChanged
	case before.Online != r.Online, before.Batch != r.Batch, before.Queued != r.Queued, before.Lost != r.Lost:
		return loadChanged
	default:
		return unchanged
	}
}

func (s *member) routingTarget(r *report) *routing.Target {
	return &routing.Target{
		Name:       r.Target,
		Instance:   s.instance.Name,
		DataCentre: s.instance.DataCentre,
		HTTP:       s.instance.HTTP,
		Peer:       s.instance.Peer,
		Report:     r.TargetReport,
		Reachable:  s.reachable,
		Leaving:    s.instance.Leaving || s.leaving,
		InFlight:   r.inFlight,
	}
}

// isUsable reports whether the process answers and stays.
func (s *member) isUsable() bool {
	return s.polled && !s.lastPollFailed && !s.leaving && !s.instance.Leaving
}

// services returns the services that a healthy target of the process can run.
func (s *member) services(of func(protocol.Labels) []string) []string {
	seen := map[string]bool{}
	for _, r := range s.reports {
		if !r.Healthy || r.Leaving {
			continue
		}
		for _, service := range of(r.Labels) {
			seen[service] = true
		}
	}
	return slices.Collect(maps.Keys(seen))
}

// allReportedSince reports whether every target of the process was reported since.
func (s *member) allReportedSince(since time.Time) bool {
	for _, r := range s.reports {
		if !r.receivedAt.After(since) {
			return false
		}
	}
	return len(s.reports) > 0
}
