// Package crashlimit judges requests by the crashes of targets that they were in flight
// at. Every process that knows the same crashes reaches the same verdict.
package crashlimit

const (
	// crashesWithoutOutput is the number of crashes before any output of the request that convicts
	// it. Two are not enough: an innocent one may be in flight at one lost target and
	// alone on the next.
	crashesWithoutOutput = 3
	// crashesInTotal is the number of crashes that convicts a request which produced output each
	// time: a long one that goes on at the next target may meet several losses, but one
	// that crashes targets later than at once must end too.
	crashesInTotal = 5
)

// Reached reports whether a request is sent to no target any more that was in flight
// at so many crashes, before the productive ones of which it had brought output.
func Reached(crashes, productive int) bool {
	return crashes-productive >= crashesWithoutOutput || crashes >= crashesInTotal
}
