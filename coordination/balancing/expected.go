package balancing

import (
	"cmp"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// expectedEvents is the number of events of a stream that are weighed beside the time to
	// its first event.
	expectedEvents = 16
	// farFactor is the factor on the expected time at a target of another data centre: the
	// near one is taken where it is as good.
	farFactor = 1.1
)

// probedTarget is a target whose batcher has answered.
type probedTarget struct {
	target *fleet.Target
	load   fleet.PeerLoad
	// cost is the time that a stream is expected to take there in microseconds, times the
	// number of streams and items that would share the target. It is 0 if nothing was learned
	// of any target.
	cost float64
}

// room returns how many more requests the target takes well. It returns false if that is not
// known.
func (p probedTarget) room() (room int, known bool) {
	if p.load.Capacity > 0 {
		return p.load.Capacity - p.load.Online, true
	}
	return p.target.Slots - p.load.Online, p.target.Slots > 0
}

// setCosts sets the costs of the targets. A time that is unknown of one target is taken to be
// the mean of the others. The number of streams counts beside the time that the next one
// meets, since each stream slows the others: by that time alone, quick targets would be filled
// until they are as slow as the others. Items count like streams: where they take the last
// slots, a stream cuts the run of one that could go on if the stream went to a free slot.
func (b *Balancer) setCosts(probed []probedTarget) {
	first := fillUnknown(probed, func(l fleet.PeerLoad) int64 { return l.FirstEventMicros })
	step := fillUnknown(probed, func(l fleet.PeerLoad) int64 { return l.StepMicros })
	for i := range probed {
		probed[i].cost = (first[i] + expectedEvents*step[i]) * float64(probed[i].load.Online+probed[i].load.Items+1)
		if b.dataCentre != "" && probed[i].target.DataCentre != b.dataCentre {
			probed[i].cost *= farFactor
		}
	}
}

// fillUnknown returns a figure of each target, the mean of the known ones where it is 0.
func fillUnknown(probed []probedTarget, figure func(fleet.PeerLoad) int64) []float64 {
	sum, known := 0.0, 0
	for _, p := range probed {
		if v := figure(p.load); v > 0 {
			sum, known = sum+float64(v), known+1
		}
	}
	filled := make([]float64, len(probed))
	for i, p := range probed {
		filled[i] = float64(figure(p.load))
		if filled[i] == 0 && known > 0 {
			filled[i] = sum / float64(known)
		}
	}
	return filled
}

// compareProbed orders targets with room before others, these by how much they lack, and
// then by their cost and the number of online requests.
func compareProbed(a, b probedTarget) int {
	if a.cost > 0 {
		if order := cmp.Compare(a.lack(), b.lack()); order != 0 {
			return order
		}
		if order := cmp.Compare(a.cost, b.cost); order != 0 {
			return order
		}
	}
	return cmp.Compare(a.load.Online, b.load.Online)
}

// lack returns how many requests too many the target has with one more, 0 if it has room.
func (p probedTarget) lack() int {
	room, known := p.room()
	if !known {
		return 0
	}
	return max(0, 1-room)
}
