package entry

import (
	"context"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// recordTimeout bounds the appending and folding of a record for a peer.
const recordTimeout = protocol.HeartbeatTimeout

// Report answers with the entry's state.
func (p *peerAPI) Report(args *protocol.ReportArgs, reply *protocol.ReportReply) error {
	p.e.ring.Clock().Observe(args.Clock)
	reply.Instance = p.e.settings.Process.Instance
	reply.Leaving = p.e.isLeaving()
	reply.Config = p.e.config.Current().At
	reply.Clock = p.e.ring.Clock().Now()
	return nil
}

// Events answers with the process's events.
func (p *peerAPI) Events(args *protocol.EventsArgs, reply *protocol.EventsReply) error {
	reply.Events, reply.Cut = p.e.ring.Events(*args)
	return nil
}

// Start appends a start and says whether its attempt may run.
func (p *peerAPI) Start(args *protocol.StartArgs, reply *protocol.StartReply) error {
	ctx, cancel := context.WithTimeout(p.e.context(), recordTimeout)
	defer cancel()
	s := args.Start
	if err := p.e.appendAndFold(ctx, protocol.Record{ID: args.RecordID, Start: &s}); err != nil {
		reply.Problem = protocol.ProblemOf(err)
		return nil
	}
	err := p.e.requests.CheckStart(&s)
	reply.Won, reply.Problem = err == nil, protocol.ProblemOf(err)
	return nil
}

// Append appends records for a process that does not write to the log itself.
func (p *peerAPI) Append(args *protocol.AppendArgs, reply *protocol.AppendReply) error {
	ctx, cancel := context.WithTimeout(p.e.context(), recordTimeout)
	defer cancel()
	p.e.ring.Clock().Stamp(args.Records)
	last, err := p.e.streamNamed(args.Stream).appendAndWait(ctx, args.Records...)
	reply.Last, reply.Problem = last, protocol.ProblemOf(err)
	return nil
}

// Gather appends records of another entry together with those of others.
func (p *peerAPI) Gather(args *protocol.GatherArgs, reply *protocol.GatherReply) error {
	last, err := p.e.appendForPeer(args)
	reply.Last, reply.Problem = last, protocol.ProblemOf(err)
	return nil
}

func (e *Entry) appendForPeer(args *protocol.GatherArgs) (protocol.Position, error) {
	if args.Stream != protocol.StreamWork {
		return 0, protocol.ErrNotSent.New("no records of stream %q are gathered here", args.Stream)
	}
	if e.isLeaving() {
		return 0, protocol.ErrLeaving.New("this entry is shutting down")
	}
	records, err := protocol.DecodeBatch(args.Data)
	if err != nil {
		return 0, protocol.ErrNotSent.Wrap(err, "records of another entry")
	}
	ctx, cancel := context.WithTimeout(e.context(), recordTimeout)
	defer cancel()
	return e.workStream.writer.AppendLocal(ctx, records...)
}

// ReadLog answers with entries of a stream.
func (p *peerAPI) ReadLog(args *protocol.ReadLogArgs, reply *protocol.ReadLogReply) error {
	switch args.Stream {
	case protocol.StreamConfig:
		*reply = p.e.configStream.follower.Serve(p.e.context(), args)
	case protocol.StreamWork:
		*reply = p.e.workStream.follower.Serve(p.e.context(), args)
	default:
		reply.Problem = protocol.ProblemOf(protocol.ErrNotFound.New("this process does not follow stream %q", args.Stream))
	}
	return nil
}

func (e *Entry) streamNamed(name string) *stream {
	if name == protocol.StreamConfig {
		return &e.configStream
	}
	return &e.workStream
}
