package commit

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// GatherersPerDataCentre is the number of entries in a data centre that append
	// the records of the other entries.
	GatherersPerDataCentre = 1
	// MinEntries is the smallest number of live entries with which records are
	// forwarded to gatherers. Fewer entries append their records themselves.
	MinEntries = 5
	// maxCandidates bounds the entries that are asked to append the same records.
	maxCandidates = 2
)

// Gatherers forwards records to a few entries of the same data centre, the
// gatherers, which append the records of many entries in one entry of the log.
// The choice of gatherers only affects the number of appends: any process may
// append any record.
type Gatherers struct {
	Self       string
	DataCentre string
	Stream     string
	// Entries returns the live entries.
	Entries func() []backend.Instance
	// Call asks the process at the peer address addr to append records.
	Call func(ctx context.Context, addr string, args protocol.GatherArgs) (protocol.GatherReply, error)
}

// Forward forwards records to a gatherer. It fails with ErrNotSent if this process
// must append them itself, and with ErrAnswerLost if a gatherer may have appended
// them.
func (g *Gatherers) Forward(ctx context.Context, records []protocol.Record) (protocol.Position, error) {
	candidates := g.candidates()
	if len(candidates) == 0 {
		return 0, errAppendLocally()
	}
	data, err := protocol.EncodeBatch(records)
	if err != nil {
		return 0, err
	}
	for _, to := range candidates {
		if to.Name == g.Self {
			break
		}
		reply, err := g.Call(ctx, to.Peer, protocol.GatherArgs{Stream: g.Stream, Data: data})
		if err == nil {
			err = reply.Problem.Err()
		}
		if err == nil {
			return reply.Last, nil
		}
		if !isKnownNotAppended(err) {
			return 0, protocol.ErrAnswerLost.Wrap(err, "records forwarded to %s", to.Name)
		}
	}
	return 0, errAppendLocally()
}

func errAppendLocally() error {
	return protocol.ErrNotSent.New("this process must append the records itself")
}

// isKnownNotAppended reports whether a gatherer's error implies that it has not
// appended the records and will not append them.
func isKnownNotAppended(err error) bool {
	return errorx.IsOfType(err, protocol.ErrNotSent) || errorx.IsOfType(err, protocol.ErrLogUnavailable) ||
		errorx.IsOfType(err, protocol.ErrLeaving) || errorx.IsOfType(err, protocol.ErrTooLarge)
}

// candidates returns the gatherer for this process and the entry to try next. It
// returns none if there are few entries or this process is a gatherer.
func (g *Gatherers) candidates() []backend.Instance {
	live := g.Entries()
	if len(live) < MinEntries {
		return nil
	}
	var local []backend.Instance
	for _, i := range live {
		if i.DataCentre == g.DataCentre {
			local = append(local, i)
		}
	}
	sortByScore(local, g.Stream)
	rank := slices.IndexFunc(local, func(i backend.Instance) bool { return i.Name == g.Self })
	if rank >= 0 && rank < GatherersPerDataCentre {
		return nil
	}
	return local[:min(maxCandidates, len(local))]
}

func sortByScore(all []backend.Instance, key string) {
	score := func(i backend.Instance) uint64 { return xxhash.Sum64String(i.Name + "\x00" + key) }
	slices.SortFunc(all, func(a, b backend.Instance) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
}
