package gateway

import (
	"context"
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/ratelimit"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// confirmed notes that the gateway at the address knows of this one, if it was asked after
// this one joined. mu must be held.
func (r *Rates) confirmed(from string, id uint64, quiet time.Duration) {
	if id >= r.firstConfirm {
		r.members.Confirmed(r.now(), from, quiet)
	}
}

// confirm asks the gateways that may not know of this one whether they do.
func (r *Rates) confirm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := r.members.Unconfirmed(r.now())
	if len(addresses) == 0 {
		r.firstConfirm = math.MaxUint64
		return
	}
	if r.firstConfirm == math.MaxUint64 {
		r.firstConfirm = r.nextID()
	}
	for _, address := range addresses {
		r.messages.SendRateQuery(address, r.nextID(), fleet.RateQuery{Kind: fleet.RateConfirm})
	}
}

// run keeps this gateway present and follows who else is.
func (r *Rates) run() error {
	for ctx := r.g.ctx; ctx.Err() == nil; pause.For(ctx, r.interval()) {
		if c := r.g.configs.Current(); !r.enabled.Load() && (c == nil || c.Keyring == nil || !c.Keyring.HasRates()) {
			continue
		}
		r.enabled.Store(true)
		r.renew()
		r.updateMembers()
		r.confirm()
	}
	return nil
}

// isFoldComplete reports whether the fold, which was last read at asOf, has all presence
// records. One that was just made from the newest records lacks those that were renewed while
// they were read, until they are read once more.
func (r *Rates) isFoldComplete(now, asOf time.Duration) bool {
	r.g.jobsMu.RLock()
	rebuiltAt := r.g.rebuiltAt
	r.g.jobsMu.RUnlock()
	if !rebuiltAt.Equal(r.foldRebuilt) {
		r.foldRebuilt, r.foldFrom = rebuiltAt, now
	}
	return asOf >= r.foldFrom
}

// interval returns the time until the next look at who is present.
func (r *Rates) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.enabled.Load() && r.g.configs.Current() != nil || r.members.IsSettled(r.now()) {
		return presenceInterval
	}
	return max(joinInterval, time.Duration(r.members.Len())*joinIntervalPerGateway)
}

// updateMembers takes over the presence records if the work log was read since it last did. A
// process that has not read the work log yet reads these records alone.
func (r *Rates) updateMembers() {
	age, known := r.g.workTail.Age()
	now := r.now()
	var records []worklog.PresentGateway
	if known && r.isFoldComplete(now, now-age) {
		r.g.jobsMu.RLock()
		records = r.g.fold.Presences()
		r.g.jobsMu.RUnlock()
	} else {
		age = 0
		records, known = r.readPresences()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if known {
		r.members.Update(r.now(), now-age, membersOf(records))
	}
	r.logDeciding()
	r.holder.Maintain(r.now())
}

// logDeciding logs when this gateway begins or ceases to decide about rates. mu must be held.
func (r *Rates) logDeciding() {
	deciding := r.members.IsSettled(r.now())
	if deciding == r.deciding && (deciding || r.members.Len() == 0) {
		return
	}
	if unconfirmed := r.members.Unconfirmed(r.now()); deciding != r.deciding || len(unconfirmed) > 0 && r.unconfirmed != len(unconfirmed) {
		r.unconfirmed = len(unconfirmed)
		klog.InfoS("rates decided here", "deciding", deciding, "gateways", r.members.Len(), "unconfirmed", len(unconfirmed), "first", first(unconfirmed),
			"view_age", r.members.Age(r.now()))
	}
	r.deciding = deciding
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// readPresences reads the newest presence records from the store.
func (r *Rates) readPresences() (records []worklog.PresentGateway, complete bool) {
	ctx, cancel := context.WithTimeout(r.g.ctx, presenceReadTimeout)
	defer cancel()
	for key := worklog.BeforePresences; ; {
		page, err := r.g.params.Store.NewestAfter(ctx, fleet.TopicWork, key)
		if err != nil {
			return nil, false
		}
		for _, record := range page.Records {
			if !worklog.IsPresenceKey(record.Key) {
				return records, true
			}
			key = record.Key
			if p, ok := worklog.DecodePresence(record); ok {
				records = append(records, p)
			}
		}
		if !page.More || len(page.Records) == 0 {
			return records, true
		}
	}
}

// membersOf returns the members that the records name.
func membersOf(records []worklog.PresentGateway) []ratelimit.Member {
	list := make([]ratelimit.Member, 0, len(records))
	for _, p := range records {
		list = append(list, ratelimit.Member{Name: p.Instance, Process: p.Writer, Revision: p.Offset, Address: p.Address, Weight: p.Weight, Lease: p.Lease})
	}
	return list
}

// renew starts to append the presence record if that is due.
func (r *Rates) renew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	begun := r.now()
	if r.renewing || begun < r.nextRenew || r.g.closing.Load() {
		return
	}
	interval, lease := r.members.RenewInterval()
	r.renewing, r.nextRenew = true, begun+interval
	r.g.tomb.Go(func() error {
		offset, err := r.appendPresence(lease)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.renewing = false
		if err != nil {
			r.nextRenew = r.now() + renewRetryDelay
			klog.InfoS("presence not renewed", "error", protocol.CauseOf(err))
			return nil
		}
		r.members.Renewed(r.now(), begun, offset, lease)
		return nil
	})
}

func (r *Rates) appendPresence(lease time.Duration) (int64, error) {
	node := r.g.params.Node
	record, err := r.g.writer.Record(worklog.Entry{Presence: &worklog.Presence{
		Instance: node.Name, Address: r.address, Weight: node.ProcessorShare, Lease: lease,
	}})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(r.g.ctx, renewTimeout)
	defer cancel()
	return r.g.params.Store.Append(ctx, fleet.TopicWork, fleet.AnyOffset, []fleet.Record{record})
}

// leave ends this gateway's presence: it decides about no request any more, but still hands
// its buckets over.
func (r *Rates) leave() {
	r.mu.Lock()
	r.members.Leave(r.now())
	r.holder.Maintain(r.now())
	r.mu.Unlock()
	if !r.enabled.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(r.g.ctx, renewTimeout)
	defer cancel()
	_, err := r.g.params.Store.Append(ctx, fleet.TopicWork, fleet.AnyOffset, []fleet.Record{{Key: worklog.PresenceKey(r.g.params.Node.Name)}})
	klog.InfoS("presence ended", "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
}
