// Package jobquota decides how a gateway accepts a batch job on a route whose waiting
// tokens are limited.
//
// All gateways append to one log. An append that succeeds only if nobody else has
// appended is exact, but with hundreds of processes the log grows every few
// milliseconds, and such an append rarely succeeds: calm traffic to a quota that is
// hardly used would be refused. So exactness is asked for only near the quota. Further
// away an unconditional append is enough, since what other gateways may accept at the
// same moment fits as well.
//
// Rates of online requests are limited by package ratelimit at gateways, and by package quota
// at entries.
package jobquota

// Verdict says how to accept a job.
type Verdict int

// The verdicts.
const (
	// Refuse means that the job exceeds the quota.
	Refuse Verdict = iota
	// AppendIfUnchanged means that the job may be accepted only if no job that this
	// gateway does not know has been accepted.
	AppendIfUnchanged
	// Append means that the job may be accepted whatever other gateways accept meanwhile.
	Append
)

// concurrentJobs is the number of jobs of the same size that other gateways may accept
// between this gateway's last read of the log and its append.
const concurrentJobs = 100

// Decide returns the verdict on a job of the given tokens, while the given tokens of
// other jobs are waiting. A quota of 0 means no limit.
func Decide(waiting, tokens, quota int64) Verdict {
	switch {
	case quota == 0:
		return Append
	case waiting+tokens > quota:
		return Refuse
	case waiting+tokens+concurrentJobs*tokens > quota:
		return AppendIfUnchanged
	}
	return Append
}
