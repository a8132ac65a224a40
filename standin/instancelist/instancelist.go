// Package instancelist is a stand-in for the platform's list of instances.
// Changes become visible to readers after a set lag.
package instancelist

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// List implements backend.InstanceList. It is safe for concurrent use.
type List struct {
	lag time.Duration

	mu       sync.Mutex
	outage   bool
	versions []version
}

type version struct {
	at        time.Time
	instances []backend.Instance
}

// New returns a list whose changes become visible after lag.
func New(lag time.Duration, instances []backend.Instance) *List {
	return &List{lag: lag, versions: []version{{instances: instances}}}
}

// Set replaces the list. Readers see it after the lag.
func (l *List) Set(instances []backend.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{at: time.Now(), instances: instances})
}

// SetOutage starts or ends an outage, during which every read fails.
func (l *List) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
}

// Instances implements backend.InstanceList.
func (l *List) Instances(context.Context) ([]backend.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return nil, protocol.ErrTargetFailed.New("instance list outage")
	}
	visible := time.Now().Add(-l.lag)
	last := 0
	for i, v := range l.versions {
		if !v.at.After(visible) {
			last = i
		}
	}
	l.versions = l.versions[last:]
	return slices.Clone(l.versions[0].instances), nil
}

// Handler serves GET /instances and PUT /instances, which replaces the list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		instances, err := l.Instances(r.Context())
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(instances)
	})
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var instances []backend.Instance
		if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		l.Set(instances)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
