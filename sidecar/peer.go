package sidecar

import (
	"github.com/sycamoretally/sycamoretally/protocol"
)

// peerAPI is what other processes may call over net/rpc.
type peerAPI struct{ s *Sidecar }

// Report answers with the state of every target.
func (p *peerAPI) Report(args *protocol.ReportArgs, reply *protocol.ReportReply) error {
	p.s.ring.Clock().Observe(args.Clock)
	reply.Instance = p.s.settings.Process.Instance
	reply.Config = p.s.config.Current().At
	reply.Clock = p.s.ring.Clock().Now()
	// Without an entry no call gets its permit.
	permitted := len(p.s.members.Entries()) > 0
	for _, r := range p.s.runners {
		report := r.report()
		report.Healthy = report.Healthy && permitted
		reply.Targets = append(reply.Targets, report)
	}
	return nil
}

// Cancel stops an attempt.
func (p *peerAPI) Cancel(args *protocol.CancelArgs, _ *protocol.CancelReply) error {
	for _, r := range p.s.runners {
		r.cancel(args.Attempt, protocol.ErrCancelled.New("cancelled by its entry"))
	}
	return nil
}

// Events answers with the process's events.
func (p *peerAPI) Events(args *protocol.EventsArgs, reply *protocol.EventsReply) error {
	reply.Events = p.s.ring.Events(*args)
	return nil
}

// Holds says whether an attempt still holds its permit here.
func (p *peerAPI) Holds(args *protocol.HoldsArgs, reply *protocol.HoldsReply) error {
	for _, r := range p.s.runners {
		r.mu.Lock()
		reply.Held = reply.Held || r.permits[args.Attempt] != nil
		r.mu.Unlock()
	}
	return nil
}
