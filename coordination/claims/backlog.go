package claims

import (
	"time"

	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// backlogAge is how long an item has been free when no batcher has a spare slot for it: any
// that had one would have read of it and claimed it.
const backlogAge = 700 * time.Millisecond

// HasBacklog reports whether items wait for want of slots at any batcher: more of them than
// there are batchers, so that the next slot of each is spoken for. An item that is given back
// meanwhile would only wait longer, while another one is begun in its place.
func HasBacklog(now time.Time, fold *worklog.Fold, canRun func(*worklog.Job) bool) bool {
	waiting, batchers := 0, len(fold.Claimants(now.Add(-claimantWindow)))
	for _, job := range fold.OpenJobs() {
		if !canRun(job) {
			continue
		}
		for _, item := range job.Items {
			if !item.Done && item.Claim == worklog.NoClaim && now.Sub(item.FreeSince) > backlogAge {
				waiting++
			}
		}
	}
	return waiting > batchers
}
