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
	reply.Leaving = p.s.isLeaving()
	for _, r := range p.s.runners {
		reply.Targets = append(reply.Targets, r.report())
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
