package state

import (
	"strings"
	"sync"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// defaultMaxUnavailablePercent is the percentage of a placement's targets that may
// load at the same time if the placement does not set one.
const defaultMaxUnavailablePercent = 25

// DesiredModel is the model and adapters that a target must have loaded.
type DesiredModel struct {
	Placement string
	Model     string
	Version   string
	Adapters  []string
	// Fence is the version of the placement, used as the fencing token of loads.
	Fence protocol.Position
}

// Content returns a string that identifies the model, its version and the adapters,
// independently of the placement.
func (d *DesiredModel) Content() string {
	return strings.Join(append([]string{d.Model, d.Version}, d.Adapters...), "\x00")
}

// DesiredModel returns what the newest placement that selects these effective labels
// asks for, or false if no placement selects them.
func (c *Config) DesiredModel(labels protocol.Labels) (DesiredModel, bool) {
	var newest *protocol.Object
	for _, o := range c.placementsOf(labels) {
		if newest == nil || o.Version > newest.Version {
			newest = &o
		}
	}
	if newest == nil {
		return DesiredModel{}, false
	}
	p := newest.Placement
	return DesiredModel{Placement: newest.Name, Model: p.Model, Version: p.Version, Adapters: p.Adapters, Fence: newest.Version}, true
}

// placementsOf returns the placements that select these effective labels.
func (c *Config) placementsOf(labels protocol.Labels) []protocol.Object {
	var found []protocol.Object
	for _, o := range c.objects {
		if o.Placement != nil && !o.Deleted && o.Placement.Selector.Matches(labels) {
			found = append(found, o)
		}
	}
	return found
}

// Turn is the permission of a target's holder to load a model.
type Turn struct {
	Target string
	Holder string
	Fence  protocol.Position
}

// TargetLoad is the load state of one target as recorded in the log.
type TargetLoad struct {
	// Holder is the process that last registered the target.
	Holder   string
	Instance string
	Labels   protocol.Labels
	// Seen is the position of the holder's last record.
	Seen protocol.Position
	// Turn is nil while the target is not loading.
	Turn *Turn
	// Fence, Content and Boot are those of the last successful load.
	Fence   protocol.Position
	Content string
	Boot    string
}

// Loads folds the turns that limit how many targets load at the same time. It reads
// the configuration as of the same position, so each record of the stream must be
// applied to the ConfigFold first.
type Loads struct {
	config *ConfigFold

	mu      sync.RWMutex
	targets map[string]*TargetLoad
}

// NewLoads returns an empty fold.
func NewLoads(config *ConfigFold) *Loads {
	return &Loads{config: config, targets: map[string]*TargetLoad{}}
}

// Target returns a copy of the target's load state.
func (l *Loads) Target(name string) (TargetLoad, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	t := l.targets[name]
	if t == nil {
		return TargetLoad{}, false
	}
	return *t, true
}

// Loading returns the targets that have a turn, each with the position of its
// holder's last record.
func (l *Loads) Loading() map[string]protocol.Position {
	return l.lastRecords(func(t *TargetLoad) bool { return t.Turn != nil })
}

// OnUnlistedInstances returns the targets on instances for which listed returns false,
// each with the position of its holder's last record.
func (l *Loads) OnUnlistedInstances(listed func(instance string) bool) map[string]protocol.Position {
	return l.lastRecords(func(t *TargetLoad) bool { return !listed(t.Instance) })
}

func (l *Loads) lastRecords(match func(*TargetLoad) bool) map[string]protocol.Position {
	l.mu.RLock()
	defer l.mu.RUnlock()
	found := map[string]protocol.Position{}
	for name, t := range l.targets {
		if match(t) {
			found[name] = t.Seen
		}
	}
	return found
}

// MayClaim reports whether a claim for the target would currently be granted a turn.
func (l *Loads) MayClaim(target string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.mayStartLoad(l.targets[target])
}

// Apply folds the record at position pos.
func (l *Loads) Apply(pos protocol.Position, rec *protocol.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case rec.Hello != nil:
		l.setHolder(pos, rec.Hello)
	case rec.Claim != nil:
		l.claim(pos, rec.Claim)
	case rec.Renew != nil:
		if t := l.targetWithTurn(rec.Renew.Target, rec.Renew.Holder); t != nil {
			t.Seen = pos
		}
	case rec.Load != nil:
		l.endTurn(pos, rec.Load)
	case rec.Revoke != nil:
		l.revoke(rec.Revoke)
	}
}

// setHolder makes the sender the target's holder and ends a turn of the previous one.
func (l *Loads) setHolder(pos protocol.Position, h *protocol.TargetRegistration) {
	t := l.targets[h.Target]
	if t == nil {
		t = &TargetLoad{}
		l.targets[h.Target] = t
	}
	if t.Holder == h.Holder {
		return
	}
	t.Holder, t.Instance, t.Labels, t.Turn, t.Seen = h.Holder, h.Instance, h.Labels, nil, pos
}

// targetWithTurn returns the target if the holder has a turn for it, and nil otherwise.
func (l *Loads) targetWithTurn(target, holder string) *TargetLoad {
	t := l.targets[target]
	if t == nil || t.Turn == nil || t.Holder != holder {
		return nil
	}
	return t
}

func (l *Loads) claim(pos protocol.Position, c *protocol.LoadClaim) {
	t := l.targets[c.Target]
	if t == nil || t.Holder != c.Holder || t.Turn != nil || !l.mayStartLoad(t) {
		return
	}
	config := l.config.Current()
	if d, found := config.DesiredModel(config.Labels(t.Labels)); !found || d.Fence != c.Fence {
		return
	}
	t.Turn = &Turn{Target: c.Target, Holder: c.Holder, Fence: c.Fence}
	t.Seen = pos
}

// mayStartLoad reports whether every placement of the target allows one more of its
// targets to load. mu must be held.
func (l *Loads) mayStartLoad(t *TargetLoad) bool {
	if t == nil {
		return false
	}
	config := l.config.Current()
	for _, o := range config.placementsOf(config.Labels(t.Labels)) {
		matched, loading := l.countLoading(config, o.Placement.Selector)
		if loading >= MaxUnavailable(o.Placement, matched) {
			return false
		}
	}
	return true
}

// countLoading returns the number of targets that the selector matches, and how many of
// them have a turn. mu must be held.
func (l *Loads) countLoading(config *Config, selector protocol.Selector) (matched, loading int) {
	for _, t := range l.targets {
		if !selector.Matches(config.Labels(t.Labels)) {
			continue
		}
		matched++
		if t.Turn != nil {
			loading++
		}
	}
	return matched, loading
}

// MaxUnavailable returns how many of the matched targets may load at the same time:
// the placement's percentage of them, rounded down, but at least one.
func MaxUnavailable(p *protocol.Placement, matched int) int {
	percent := p.MaxUnavailablePercent
	if percent <= 0 {
		percent = defaultMaxUnavailablePercent
	}
	return max(1, matched*min(percent, 100)/100)
}

func (l *Loads) endTurn(pos protocol.Position, e *protocol.LoadEnd) {
	t := l.targetWithTurn(e.Target, e.Holder)
	if t == nil || t.Turn.Fence != e.Fence {
		return
	}
	t.Turn, t.Seen = nil, pos
	if e.Loaded {
		t.Fence, t.Content, t.Boot = e.Fence, e.Content, e.Boot
	}
}

func (l *Loads) revoke(r *protocol.LoadRevoke) {
	t := l.targets[r.Target]
	if t == nil || t.Seen != r.Seen {
		return
	}
	t.Turn = nil
	if r.Gone {
		delete(l.targets, r.Target)
	}
}
