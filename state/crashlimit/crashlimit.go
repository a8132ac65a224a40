// Package crashlimit decides after how many target crashes a request is quarantined. The
// decision depends on the crashes alone, so all processes that know of the same crashes
// agree on it.
package crashlimit

const (
	// crashesWithoutOutput is the number of crashes before any output at which a request is
	// quarantined. Two are not enough: a harmless request may be in flight on one target
	// that is lost and then run alone on another one that is lost.
	crashesWithoutOutput = 3
	// crashesInTotal is the number of crashes at which a request is quarantined even if it
	// had produced output each time. The limit is higher because a long request that
	// resumes on other targets may lose several of them by chance, but a request that
	// crashes targets only after some output must be stopped too.
	crashesInTotal = 5
)

// Reached reports whether a request must not be sent to targets any more: crashes is the
// number of crashes at which it was in flight, productive the number of those before
// which it had produced output.
func Reached(crashes, productive int) bool {
	return crashes-productive >= crashesWithoutOutput || crashes >= crashesInTotal
}
