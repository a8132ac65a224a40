package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// claimTimeout bounds the question to a key's owner; without an answer the
	// request runs here.
	claimTimeout = 200 * time.Millisecond
	// joinWait is how long an entry holds a join before it says "still running".
	joinWait = time.Second
	// joinGrace keeps a request going between two joins of one waiting entry.
	joinGrace = 500 * time.Millisecond
	// maxClaims bounds the claims that an owner keeps.
	maxClaims = 1 << 16
)

// claims holds, for the keys that this entry owns, the entry that runs each.
// They are hints: without them a repeatable request may run twice.
type claims struct {
	mu    sync.Mutex
	byKey map[string]string
}

func newClaims() *claims { return &claims{byKey: map[string]string{}} }

// claim gives key to the claimant unless another one has it, whose address it
// then returns.
func (c *claims) claim(a *protocol.ClaimArgs) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	holder := c.byKey[a.Key]
	if holder != "" && holder != a.Peer && holder != a.Replaces {
		return holder
	}
	for key := range c.byKey {
		if len(c.byKey) < maxClaims {
			break
		}
		delete(c.byKey, key)
	}
	c.byKey[a.Key] = a.Peer
	return ""
}

func (c *claims) unclaim(a *protocol.ClaimArgs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKey[a.Key] == a.Peer {
		delete(c.byKey, a.Key)
	}
}

// keyOwner returns the peer address of the entry that owns key.
func (e *Entry) keyOwner(key string) string {
	addresses := map[string]string{}
	var names []string
	for _, i := range e.members.Entries() {
		addresses[i.Name] = i.Peer
		names = append(names, i.Name)
	}
	return addresses[routing.Owner(key, names)]
}

func (e *Entry) claimArgs(key string) *protocol.ClaimArgs {
	return &protocol.ClaimArgs{Key: key, Peer: e.settings.Process.Peer}
}

// claim tells the key's owner that this entry runs the request. It returns the
// address of another entry that does.
func (e *Entry) claim(ctx context.Context, args *protocol.ClaimArgs) string {
	owner := e.keyOwner(args.Key)
	if owner == "" || owner == e.settings.Process.Peer {
		return e.claims.claim(args)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var reply protocol.ClaimReply
	if err := e.peers.Call(ctx, owner, protocol.MethodClaim, args, &reply); err != nil {
		return ""
	}
	return reply.Peer
}

// unclaim gives the claim back, without waiting for the owner.
func (e *Entry) unclaim(key string) {
	args, owner := e.claimArgs(key), e.keyOwner(key)
	e.claims.unclaim(args)
	if owner == "" || owner == e.settings.Process.Peer {
		return
	}
	e.runTask(func() {
		ctx, cancel := context.WithTimeout(e.context(), claimTimeout)
		defer cancel()
		var reply protocol.UnclaimReply
		_ = e.peers.Call(ctx, owner, protocol.MethodUnclaim, args, &reply)
	})
}

// joinRemote waits for the request at the entry that runs it. It reports
// false where the request is this entry's to run.
func (e *Entry) joinRemote(ctx context.Context, o *request) (end executionResult, joined bool, err error) {
	args := e.claimArgs(o.key)
	for range e.settings.Entry.Attempts {
		peer := e.claim(ctx, args)
		if peer == "" {
			return executionResult{}, false, nil
		}
		if end, joined, err = e.joinPeer(ctx, peer, o); joined {
			return end, true, err
		}
		args.Replaces = peer
	}
	return executionResult{}, false, nil
}

func (e *Entry) joinPeer(ctx context.Context, peer string, o *request) (executionResult, bool, error) {
	args := &protocol.JoinArgs{Key: o.key, Fingerprint: o.fingerprint}
	for {
		var reply protocol.JoinReply
		callCtx, cancel := context.WithTimeout(ctx, joinWait+protocol.HeartbeatTimeout)
		err := e.peers.Call(callCtx, peer, protocol.MethodJoin, args, &reply)
		cancel()
		switch {
		case ctx.Err() != nil:
			return executionResult{}, true, protocol.ErrTimeout.New("the request runs at another entry")
		case err != nil:
			return executionResult{}, false, nil
		case reply.Result != nil:
			return executionResult{reply.Result, reply.Retained}, true, nil
		case reply.Problem != nil:
			return executionResult{}, true, reply.Problem.Err()
		case !reply.Running:
			return executionResult{}, false, nil
		}
	}
}

// Claim records which entry runs a key that this entry owns.
func (p *peerAPI) Claim(args *protocol.ClaimArgs, reply *protocol.ClaimReply) error {
	reply.Peer = p.e.claims.claim(args)
	return nil
}

// Unclaim ends a claim.
func (p *peerAPI) Unclaim(args *protocol.ClaimArgs, _ *protocol.UnclaimReply) error {
	p.e.claims.unclaim(args)
	return nil
}

// Join waits for a request that runs here.
func (p *peerAPI) Join(args *protocol.JoinArgs, reply *protocol.JoinReply) error {
	fl, err := p.e.executions.joinLocal(args.Key, args.Fingerprint)
	if err != nil || fl == nil {
		reply.Problem = protocol.ProblemOf(err)
		return nil
	}
	time.AfterFunc(joinWait+joinGrace, func() { p.e.executions.leave(fl) })
	timer := time.NewTimer(joinWait)
	defer timer.Stop()
	select {
	case <-fl.done:
		reply.Result, reply.Retained, reply.Problem = fl.result, fl.retained, protocol.ProblemOf(fl.err)
	case <-timer.C:
		reply.Running = true
	}
	return nil
}

// Known answers with what this entry has folded of a key.
func (p *peerAPI) Known(args *protocol.KnownArgs, reply *protocol.KnownReply) error {
	r, _ := p.e.requests.Get(args.Key)
	reply.Started, reply.Completed = r.Started != nil, r.ResultAt != 0
	return nil
}
