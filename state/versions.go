package state

import (
	"slices"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// maxObjectVersions is the number of versions that are kept of one object.
	maxObjectVersions = 20
	// maxVersions is the number of versions that are kept of all objects together.
	maxVersions = 4096
)

// versions holds the most recent versions of the objects, including the current ones,
// in order of publication. The oldest are dropped first.
type versions struct {
	all []protocol.ObjectVersion
}

func newVersions() *versions { return &versions{} }

// add adds the objects of an accepted change.
func (v *versions) add(pos protocol.Position, change *protocol.Change) {
	for _, o := range change.Objects {
		o.Version = pos
		v.trim(o.Kind, o.Name)
		v.all = append(v.all, protocol.ObjectVersion{Object: o, By: change.By, UnixMillis: change.UnixMillis})
	}
	if len(v.all) > maxVersions {
		v.all = slices.Clone(v.all[len(v.all)-maxVersions:])
	}
}

// trim drops the oldest version of an object that already has maxObjectVersions.
func (v *versions) trim(kind protocol.ObjectKind, name string) {
	oldest, count := 0, 0
	for i := range v.all {
		if !isVersionOf(&v.all[i], kind, name) {
			continue
		}
		if count == 0 {
			oldest = i
		}
		count++
	}
	if count >= maxObjectVersions {
		v.all = slices.Delete(v.all, oldest, oldest+1)
	}
}

func isVersionOf(v *protocol.ObjectVersion, kind protocol.ObjectKind, name string) bool {
	return v.Object.Name == name && v.Object.Kind == kind
}

// History returns the retained versions of an object, oldest first.
func (f *ConfigFold) History(kind protocol.ObjectKind, name string) []protocol.ObjectVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := []protocol.ObjectVersion{}
	for i := range f.versions.all {
		if isVersionOf(&f.versions.all[i], kind, name) {
			found = append(found, f.versions.all[i])
		}
	}
	return found
}
