package claims

import "github.com/sycamoretally/sycamoretally/state/worklog"

// Unheld returns the items that self holds according to the log and for which isKnown
// returns false: those that the process neither holds nor has handed back or finished. A
// claim may be stored long after the process has given up its append, and one that was
// stored may never be read back. Nobody else claims such an item as long as the process
// shows that it is alive.
func Unheld(fold *worklog.Fold, self string, isKnown func(worklog.ItemRef) bool) []worklog.ItemRef {
	var unheld []worklog.ItemRef
	for _, job := range fold.OpenJobs() {
		for _, item := range job.Items {
			if !item.Done && item.Holder == self && !isKnown(item.Ref) {
				unheld = append(unheld, item.Ref)
			}
		}
	}
	return unheld
}
