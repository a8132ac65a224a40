// Package drain decides which requests a process still takes while it shuts down.
//
// Callers come for some seconds after the process has announced that it leaves: the load
// balancer asks once a second, and open connections stay with their process. When all
// processes of a site are replaced in turn, many requests meet one that is leaving. Most are
// short and can be served. One that may outlast the process must be refused at once, as long
// as nothing of it has run: cut at the end it may have run, and can't be repeated safely.
package drain

import "time"

const (
	// noticeTime is how long callers may go on coming to a process that is no longer ready.
	noticeTime = 3 * time.Second
	// stopMargin is how long before the end of its grace period a process must have answered
	// all requests.
	stopMargin = 700 * time.Millisecond
)

// Window is the time in which a process drains. The zero Window accepts nothing.
type Window struct {
	// NoticeEnd is when callers have had time to notice that the process leaves.
	NoticeEnd time.Time
	// Stop is when the requests that are still in flight are given up.
	Stop time.Time
}

// NewWindow returns the window of a process that was told at begun to end within grace.
func NewWindow(begun time.Time, grace time.Duration) Window {
	stop := begun.Add(max(0, grace-stopMargin))
	notice := begun.Add(noticeTime)
	if notice.After(stop) {
		notice = stop
	}
	return Window{NoticeEnd: notice, Stop: stop}
}

// Accepts reports whether a request that comes now is still taken. limit is the longest time
// that the request may take, 0 if it is not known.
func (w Window) Accepts(now time.Time, limit time.Duration) bool {
	return now.Before(w.NoticeEnd) && limit > 0 && !now.Add(limit).After(w.Stop)
}
