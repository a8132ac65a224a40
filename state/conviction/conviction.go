// Package conviction judges requests by the crashes of targets that they were in flight
// at. Every process that knows the same crashes reaches the same verdict.
package conviction

const (
	// early is the number of crashes before any output of the request that convicts
	// it. Two are not enough: an innocent one may be in flight at one lost target and
	// alone on the next.
	early = 3
	// all is the number of crashes that convicts a request which produced output each
	// time: a long one that goes on at the next target may meet several losses, but one
	// that crashes targets later than at once must end too.
	all = 5
)

// Convicted reports whether a request is sent to no target any more that was in flight
// at so many crashes, before the productive ones of which it had brought output.
func Convicted(crashes, productive int) bool {
	return crashes-productive >= early || crashes >= all
}
