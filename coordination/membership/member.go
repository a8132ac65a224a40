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
	instance backend.Instance
	heard    time.Time
	leaving  bool
	polling  bool
	// polled is true once a question to the process has ended.
	polled bool
	// reachable is what the published table says.
	reachable bool
	reports   map[string]*report
	// mark names the newest report of the whole process.
	mark uint64
	// asked is when the last question was sent.
	asked time.Time
	// failed is true where the last question was not answered.
	failed bool
	// watched is true where the process is asked in every round although there
	// are many.
	watched bool
}

// report is the newest report of one target.
type report struct {
	protocol.TargetReport
	inFlight *atomic.Int64
	heard    time.Time
}

// change says how much a report differs from the one before.
type change int

const (
	unchanged change = iota
	loadChanged
	stateChanged
)

// replace takes the reports of all targets of a process.
func (s *member) replace(reports []protocol.TargetReport) change {
	most := unchanged
	named := map[string]bool{}
	for _, r := range reports {
		named[r.Target] = true
		old := s.reports[r.Target]
		if old != nil && old.Boot == r.Boot && old.Seq > r.Seq {
			continue
		}
		most = max(most, s.add(r))
	}
	for target := range s.reports {
		if !named[target] {
			delete(s.reports, target)
			most = stateChanged
		}
	}
	return most
}

// add takes one report.
func (s *member) add(r protocol.TargetReport) change {
	old := s.reports[r.Target]
	if old == nil {
		s.reports[r.Target] = &report{TargetReport: r, inFlight: &atomic.Int64{}, heard: time.Now()}
		return stateChanged
	}
	before := old.TargetReport
	old.TargetReport, old.heard = r, time.Now()
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

func (s *member) target(r *report) *routing.Target {
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

// usable reports whether the process answers and stays.
func (s *member) usable() bool {
	return s.polled && !s.failed && !s.leaving && !s.instance.Leaving
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

// heardOfAll reports whether every target of the process was reported since.
func (s *member) heardOfAll(since time.Time) bool {
	for _, r := range s.reports {
		if !r.heard.After(since) {
			return false
		}
	}
	return len(s.reports) > 0
}
