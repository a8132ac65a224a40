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

// member is the state of one process on the instance list.
type member struct {
	instance     backend.Instance
	lastReportAt time.Time
	leaving      bool
	polling      bool
	// polled is true once a poll of the process has ended, with or without a reply.
	polled bool
	// reachable is the value in the published table.
	reachable bool
	reports   map[string]*report
	// mark identifies the newest report of the whole process.
	mark uint64
	// lastPollAt is when the last poll was sent.
	lastPollAt time.Time
	// lastPollFailed is true if the last poll was not answered.
	lastPollFailed bool
	// watched is true if this entry watches the process, which exempts it from
	// rate-limited polling while subsetting.
	watched bool
}

// report is the newest report of one target.
type report struct {
	protocol.TargetReport
	inFlight   *atomic.Int64
	receivedAt time.Time
}

// reportChange tells how much a report differs from the previous one.
type reportChange int

const (
	unchanged reportChange = iota
	loadChanged
	stateChanged
)

// replaceReports replaces the reports of all targets of the process and returns
// the largest change. Reports older than the stored one are ignored.
func (p *member) replaceReports(reports []protocol.TargetReport) reportChange {
	largest := unchanged
	reported := map[string]bool{}
	for _, r := range reports {
		reported[r.Target] = true
		old := p.reports[r.Target]
		if old != nil && old.Boot == r.Boot && old.Seq > r.Seq {
			continue
		}
		largest = max(largest, p.updateReport(r))
	}
	for target := range p.reports {
		if !reported[target] {
			delete(p.reports, target)
			largest = stateChanged
		}
	}
	return largest
}

// updateReport stores the report of one target.
func (p *member) updateReport(r protocol.TargetReport) reportChange {
	old := p.reports[r.Target]
	if old == nil {
		p.reports[r.Target] = &report{TargetReport: r, inFlight: &atomic.Int64{}, receivedAt: time.Now()}
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

func (p *member) routingTarget(r *report) *routing.Target {
	return &routing.Target{
		Name:       r.Target,
		Instance:   p.instance.Name,
		DataCentre: p.instance.DataCentre,
		HTTP:       p.instance.HTTP,
		Peer:       p.instance.Peer,
		Report:     r.TargetReport,
		Reachable:  p.reachable,
		Leaving:    p.instance.Leaving || p.leaving,
		InFlight:   r.inFlight,
	}
}

// isUsable reports whether the process answered its last poll and is not leaving.
func (p *member) isUsable() bool {
	return p.polled && !p.lastPollFailed && !p.leaving && !p.instance.Leaving
}

// services returns the services that the healthy targets of the process can run.
func (p *member) services(servicesOf func(protocol.Labels) []string) []string {
	seen := map[string]bool{}
	for _, r := range p.reports {
		if !r.Healthy || r.Leaving {
			continue
		}
		for _, service := range servicesOf(r.Labels) {
			seen[service] = true
		}
	}
	return slices.Collect(maps.Keys(seen))
}

// allReportedSince reports whether a report of every target of the process has
// arrived after the given time.
func (p *member) allReportedSince(since time.Time) bool {
	for _, r := range p.reports {
		if !r.receivedAt.After(since) {
			return false
		}
	}
	return len(p.reports) > 0
}
