package worklog

import "sync"

// Accepts holds the accepted jobs of a fold by their IDs. Unlike the fold it is safe for
// concurrent use, so that requests which only ask for a job need not wait while records are
// applied.
type Accepts struct{ byID sync.Map }

// Find returns how the job was accepted, nil if the fold does not know the job.
func (a *Accepts) Find(id string) *Accept {
	if found, ok := a.byID.Load(id); ok {
		return found.(*Accept)
	}
	return nil
}
