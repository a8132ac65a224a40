package ratelimit

import (
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// silenceFor is how long a gateway that left a query unanswered is not asked again.
	silenceFor = time.Second
	// maxSilences bounds the number of gateways that are remembered as silent.
	maxSilences = 4096
	// unknownRetryAfter is the time after which a caller should retry if nobody could tell
	// whether its request is within the rate: another gateway may know by then.
	unknownRetryAfter = 300 * time.Millisecond
)

// Step is the next gateway to ask. Deputy is set if it is asked in place of the owner.
type Step struct {
	Address string
	Deputy  bool
}

// Inquiry finds the gateway that decides about one request: the owner, the gateway that it
// refers to, then the deputies.
type Inquiry struct {
	order   []Member
	next    int
	deputy  bool
	referee string
	// asked is the address that was asked last.
	asked string
	// Silent counts the gateways that did not answer.
	Silent int
}

// NewInquiry returns the inquiry about a workspace with the given order.
func NewInquiry(order []Member) *Inquiry { return &Inquiry{order: order} }

// Next returns the next gateway to ask, false if there is none left. isSilent reports
// whether a gateway has left queries unanswered lately.
func (i *Inquiry) Next(isSilent func(address string) bool) (Step, bool) {
	if referee := i.referee; referee != "" {
		i.referee = ""
		if !isSilent(referee) {
			i.asked = referee
			return Step{Address: referee}, true
		}
	}
	for i.next < len(i.order) {
		m := i.order[i.next]
		i.next++
		if isSilent(m.Address) {
			i.Silent++
			i.deputy = true
			continue
		}
		i.asked = m.Address
		return Step{Address: m.Address, Deputy: i.deputy || i.next > 1}, true
	}
	return Step{}, false
}

// Asked returns the address of the gateway that was asked last, empty if there was none.
func (i *Inquiry) Asked() string { return i.asked }

// Heard notes the answer of the gateway that was asked last; answered is false if there was
// none. It reports whether the answer decides about the request.
func (i *Inquiry) Heard(a fleet.RateAnswer, answered bool) (decided bool) {
	if !answered {
		i.Silent++
		return false
	}
	if a.Verdict == fleet.RateAdmitted || a.Verdict == fleet.RateExceeded {
		return true
	}
	if a.Owner != i.asked && i.next <= 1 {
		i.referee = a.Owner
	}
	return false
}

// Silences remembers the gateways that left queries unanswered. It is not safe for
// concurrent use.
type Silences struct {
	until map[string]time.Duration
}

// Mark remembers the gateway at the address as silent.
func (s *Silences) Mark(now time.Duration, address string) {
	if s.until == nil {
		s.until = map[string]time.Duration{}
	}
	if len(s.until) >= maxSilences {
		clear(s.until)
	}
	s.until[address] = now + silenceFor
}

// Clear forgets that the gateway was silent.
func (s *Silences) Clear(address string) { delete(s.until, address) }

// IsSilent reports whether the gateway is remembered as silent.
func (s *Silences) IsSilent(now time.Duration, address string) bool {
	until, found := s.until[address]
	return found && now < until
}

// Refusal returns the error for a request that no gateway admitted: fleet.ErrQuotaExceeded if
// decided is set, since a gateway has answered that the rate is used up, otherwise
// fleet.ErrRefused. silent is the number of gateways that did not answer.
func Refusal(workspace *fleet.Workspace, decided bool, a fleet.RateAnswer, silent int) error {
	if decided {
		return fleet.WithRetryAfter(fleet.ErrQuotaExceeded.New(
			"workspace %s exceeds its rate of %g requests a second, %.2f left", workspace.Name, workspace.Rate.PerSecond, a.Tokens), a.RetryAfter)
	}
	return fleet.WithRetryAfter(fleet.ErrRefused.New(
		"no gateway tells whether workspace %s is within its rate, %d silent", workspace.Name, silent), unknownRetryAfter)
}
