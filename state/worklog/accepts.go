package worklog

import "sync"

// Accepts holds, by the ID of the job, how each job of a fold was accepted. Unlike the fold it is
// safe for concurrent use, so that a request which asks only that need not wait while records are
// applied. It has as many entries as the fold has jobs.
type Accepts struct{ byID sync.Map }

// Find returns how the job was accepted, nil if the fold does not know the job.
func (a *Accepts) Find(id string) *Accept {
	if found, ok := a.byID.Load(id); ok {
		return found.(*Accept)
	}
	return nil
}
