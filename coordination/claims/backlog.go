package claims

import (
	"time"

	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// backlogAge is how long an item has been free when no batcher has a spare slot for it: any
// that had one would have read of it and claimed it.
const backlogAge = 700 * time.Millisecond

// HasBacklog reports whether an item that the process may run waits for want of a slot at
// any batcher. An item that is given back meanwhile would only wait longer, while another
// one is begun in its place.
func HasBacklog(now time.Time, fold *worklog.Fold, canRun func(*worklog.Job) bool) bool {
	for _, job := range fold.OpenJobs() {
		if !canRun(job) {
			continue
		}
		for _, item := range job.Items {
			if !item.Done && item.Claim == worklog.NoClaim && now.Sub(item.FreeSince) > backlogAge {
				return true
			}
		}
	}
	return false
}
