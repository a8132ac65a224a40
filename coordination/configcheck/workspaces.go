package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// The kinds of findings about workspaces.
const (
	// UnusableWorkspace is an entry that gateways leave out: it is faulty, or has the name or
	// a key of an earlier one.
	UnusableWorkspace Kind = "unusable_workspace"
	// WorkspaceWithoutKey is a workspace that no caller can use.
	WorkspaceWithoutKey Kind = "workspace_without_key"
	// BurstBelowRequest is a limit of a rate whose burst is less than one request.
	BurstBelowRequest Kind = "burst_below_request"
)

// File is a configuration with what the check needs and gateways do not keep.
type File struct {
	*fleet.Configuration
	// Workspaces holds the workspaces that gateways use, in the order of the file.
	Workspaces []Workspace
	// Faults holds the entries that they leave out.
	Faults []Fault
}

// Workspace is a workspace with its keys.
type Workspace struct {
	Name     string
	Keys     []fleet.Key
	Priority *int
	Rate     fleet.Rate
}

// Fault says why an entry is not used. It names no key.
type Fault struct {
	Where   string
	Message string
}

func whereWorkspace(w Workspace) string { return "workspace " + w.Name }

// checkWorkspaces checks the entries of workspaces.
func checkWorkspaces(f *File) []Finding {
	var found []Finding
	for _, fault := range f.Faults {
		found = append(found, Finding{UnusableWorkspace, true, fault.Where, "left out: " + fault.Message})
	}
	for _, w := range f.Workspaces {
		if len(w.Keys) == 0 {
			found = append(found, Finding{WorkspaceWithoutKey, false, whereWorkspace(w), "has no key, so that no caller can use it"})
		}
		if w.Rate.IsLimited() && w.Rate.Burst > 0 && w.Rate.Burst < 1 {
			found = append(found, Finding{
				BurstBelowRequest, false, whereWorkspace(w),
				fmt.Sprintf("a burst of %v is less than one request", w.Rate.Burst),
			})
		}
	}
	return found
}

// compareWorkspaces returns what differs between the workspaces of two versions.
func compareWorkspaces(current, next *File) []Change {
	before := map[string]Workspace{}
	for _, w := range current.Workspaces {
		before[w.Name] = w
	}
	var changes []Change
	for _, w := range next.Workspaces {
		old, found := before[w.Name]
		if !found {
			changes = append(changes, Change{Where: whereWorkspace(w), What: fmt.Sprintf("added with %d keys", len(w.Keys))})
			continue
		}
		delete(before, w.Name)
		changes = append(changes, compareWorkspace(old, w)...)
	}
	for _, w := range before {
		changes = append(changes, Change{Where: whereWorkspace(w), What: fmt.Sprintf("removed with %d keys", len(w.Keys))})
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return strings.Compare(a.Where, b.Where) })
	return changes
}

// compareWorkspace returns what differs between two versions of a workspace.
func compareWorkspace(old, w Workspace) []Change {
	var changes []Change
	note := func(what string, before, after any) {
		if before != after {
			changes = append(changes, Change{whereWorkspace(w), what, fmt.Sprint(before), fmt.Sprint(after)})
		}
	}
	if gone := missing(old.Keys, w.Keys); gone > 0 {
		changes = append(changes, Change{Where: whereWorkspace(w), What: fmt.Sprintf("%d keys withdrawn", gone)})
	}
	if added := missing(w.Keys, old.Keys); added > 0 {
		changes = append(changes, Change{Where: whereWorkspace(w), What: fmt.Sprintf("%d keys added", added)})
	}
	note("priority", describePriority(old.Priority), describePriority(w.Priority))
	note("requests a second", old.Rate.PerSecond, w.Rate.PerSecond)
	note("burst", old.Rate.Burst, w.Rate.Burst)
	return changes
}

// missing returns how many of the keys are not among the others.
func missing(keys, others []fleet.Key) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}

func describePriority(p *int) string {
	if p == nil {
		return "of the route"
	}
	return fmt.Sprint(*p)
}
