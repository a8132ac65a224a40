package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// claimTimeout bounds the call to a key's owner. Without a reply in this
	// time the request runs here.
	claimTimeout = 200 * time.Millisecond
	// joinWait is how long a join call waits for the result before it replies
	// that the request is still running.
	joinWait = time.Second
	// joinGrace keeps a request running between two join calls of the same
	// waiting entry.
	joinGrace = 500 * time.Millisecond
	// maxClaims bounds the number of claims that an owner keeps.
	maxClaims = 1 << 16
)

// claims maps each key that this entry owns to the entry that runs its request.
// Claims are hints: if one is lost, a repeatable request may run twice.
type claims struct {
	mu    sync.Mutex
	byKey map[string]string
}

func newClaims() *claims { return &claims{byKey: map[string]string{}} }

// claim records the claimant for the key, unless another entry holds the key;
// then it returns the holder's address.
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

// claim registers this entry with the key's owner as the one that runs the
// request. It returns the address of another entry if that one already runs it.
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

// unclaim releases the claim without waiting for the owner's reply.
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

// joinRemote waits for the result of the request if another entry runs it. It
// reports joined as false if this entry must run the request itself.
func (e *Entry) joinRemote(ctx context.Context, req *request) (res executionResult, joined bool, err error) {
	args := e.claimArgs(req.key)
	for range e.settings.Entry.Attempts {
		peer := e.claim(ctx, args)
		if peer == "" {
			return executionResult{}, false, nil
		}
		if res, joined, err = e.joinPeer(ctx, peer, req); joined {
			return res, true, err
		}
		args.Replaces = peer
	}
	return executionResult{}, false, nil
}

func (e *Entry) joinPeer(ctx context.Context, peer string, req *request) (executionResult, bool, error) {
	args := &protocol.JoinArgs{Key: req.key, Fingerprint: req.fingerprint}
	for {
		var reply protocol.JoinReply
		callCtx, cancel := context.WithTimeout(ctx, joinWait+protocol.HeartbeatTimeout)
		err := e.peers.Call(callCtx, peer, protocol.MethodJoin, args, &reply)
		cancel()
		switch {
		case ctx.Err() != nil:
			return executionResult{}, true, protocol.ErrTimeout.New("timed out waiting for the request at another entry")
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

// Claim records which entry runs the request of a key that this entry owns.
func (p *peerAPI) Claim(args *protocol.ClaimArgs, reply *protocol.ClaimReply) error {
	reply.Peer = p.e.claims.claim(args)
	return nil
}

// Unclaim releases a claim.
func (p *peerAPI) Unclaim(args *protocol.ClaimArgs, _ *protocol.UnclaimReply) error {
	p.e.claims.unclaim(args)
	return nil
}

// Join waits for the result of a request that this entry runs.
func (p *peerAPI) Join(args *protocol.JoinArgs, reply *protocol.JoinReply) error {
	ex, err := p.e.executions.joinLocal(args.Key, args.Fingerprint)
	if err != nil || ex == nil {
		reply.Problem = protocol.ProblemOf(err)
		return nil
	}
	time.AfterFunc(joinWait+joinGrace, func() { p.e.executions.leave(ex) })
	timer := time.NewTimer(joinWait)
	defer timer.Stop()
	select {
	case <-ex.done:
		reply.Result, reply.Retained, reply.Problem = ex.result, ex.retained, protocol.ProblemOf(ex.err)
	case <-timer.C:
		reply.Running = true
	}
	return nil
}

// Known reports what this entry has folded for a key.
func (p *peerAPI) Known(args *protocol.KnownArgs, reply *protocol.KnownReply) error {
	r, _ := p.e.requests.Get(args.Key)
	reply.Started, reply.Completed = r.Started != nil, r.ResultAt != 0
	return nil
}
