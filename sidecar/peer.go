package sidecar

import (
	"context"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// peerAPI is what other processes may call over net/rpc.
type peerAPI struct{ sidecar *Sidecar }

// Report answers with the state of every target.
func (p *peerAPI) Report(args *protocol.ReportArgs, reply *protocol.ReportReply) error {
	p.sidecar.ring.Clock().Observe(args.Clock)
	reply.Instance = p.sidecar.settings.Process.Instance
	reply.Config = p.sidecar.config.Current().At
	reply.Clock = p.sidecar.ring.Clock().Now()
	reply.Leaving = p.sidecar.isLeaving()
	// Without an entry no call gets its permit.
	permitted := len(p.sidecar.members.Entries()) > 0
	for _, r := range p.sidecar.runners {
		report := r.report()
		report.Healthy = report.Healthy && permitted
		reply.Targets = append(reply.Targets, report)
	}
	reply.OmitKnownTargets(args.Mark)
	return nil
}

// Cancel stops an attempt.
func (p *peerAPI) Cancel(args *protocol.CancelArgs, _ *protocol.CancelReply) error {
	for _, r := range p.sidecar.runners {
		r.cancel(args.Attempt, protocol.ErrCancelled.New("cancelled by its entry"))
	}
	return nil
}

// Running reports whether an attempt is in progress here.
func (p *peerAPI) Running(args *protocol.RunningArgs, reply *protocol.RunningReply) error {
	for _, r := range p.sidecar.runners {
		reply.Running = reply.Running || r.has(args.Attempt)
	}
	return nil
}

// Events answers with the process's events.
func (p *peerAPI) Events(args *protocol.EventsArgs, reply *protocol.EventsReply) error {
	reply.Events, reply.Cut = p.sidecar.ring.Events(*args)
	return nil
}

// ReadLog answers with entries of the configuration stream.
func (p *peerAPI) ReadLog(args *protocol.ReadLogArgs, reply *protocol.ReadLogReply) error {
	if args.Stream != protocol.StreamConfig {
		reply.Problem = protocol.ProblemOf(protocol.ErrNotFound.New("this process does not follow stream %q", args.Stream))
		return nil
	}
	*reply = p.sidecar.follower.Serve(p.sidecar.tomb.Context(context.Background()), args)
	return nil
}

// Holds says whether an attempt still holds its permit here, and then has its end
// told to the entries that granted it.
func (p *peerAPI) Holds(args *protocol.HoldsArgs, reply *protocol.HoldsReply) error {
	for _, r := range p.sidecar.runners {
		r.mu.Lock()
		if held := r.permits[args.Attempt]; held != nil {
			held.queried = true
			reply.Held = true
		}
		reply.Completed = reply.Completed || r.completed.Has(args.Attempt)
		r.mu.Unlock()
	}
	return nil
}
