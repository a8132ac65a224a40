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
	// for the others.
	GatherersPerDataCentre = 1
	// MinEntries is the number of live entries from which on records are handed to
	// gatherers. Fewer append themselves.
	MinEntries = 5
	// maxCandidates bounds the entries that are asked to append the same records.
	maxCandidates = 2
)

// Gatherers hands records to a few entries of the own data centre, which append
// those of many in one entry of the log. Who gathers decides nothing but the
// number of appends: any process may append any record.
type Gatherers struct {
	Self       string
	DataCentre string
	Stream     string
	// Entries returns the live entries.
	Entries func() []backend.Instance
	// Call asks the process at a peer address to append records.
	Call func(ctx context.Context, addr string, args protocol.GatherArgs) (protocol.GatherReply, error)
}

// Forward hands records to a gatherer. It fails with ErrNotSent where this process
// is to append them itself, and with ErrAnswerLost where a gatherer may have.
func (g *Gatherers) Forward(ctx context.Context, records []protocol.Record) (protocol.Position, error) {
	chosen := g.candidates()
	if len(chosen) == 0 {
		return 0, errAppendLocally()
	}
	data, err := protocol.EncodeBatch(records)
	if err != nil {
		return 0, err
	}
	for _, to := range chosen {
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
			return 0, protocol.ErrAnswerLost.Wrap(err, "records handed to %s", to.Name)
		}
	}
	return 0, errAppendLocally()
}

func errAppendLocally() error { return protocol.ErrNotSent.New("this process appends by itself") }

// isKnownNotAppended reports whether an error of a gatherer says that it has not
// appended the records and will not.
func isKnownNotAppended(err error) bool {
	return errorx.IsOfType(err, protocol.ErrNotSent) || errorx.IsOfType(err, protocol.ErrLogUnavailable) ||
		errorx.IsOfType(err, protocol.ErrLeaving)
}

// candidates returns the gatherer for this process, and the one to try after it. It
// returns none where there are few entries or this process is a gatherer.
func (g *Gatherers) candidates() []backend.Instance {
	live := g.Entries()
	if len(live) < MinEntries {
		return nil
	}
	var here []backend.Instance
	for _, i := range live {
		if i.DataCentre == g.DataCentre {
			here = append(here, i)
		}
	}
	sortByScore(here, g.Stream)
	place := slices.IndexFunc(here, func(i backend.Instance) bool { return i.Name == g.Self })
	if place >= 0 && place < GatherersPerDataCentre {
		return nil
	}
	return here[:min(maxCandidates, len(here))]
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
