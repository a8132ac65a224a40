package history

import (
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// ConfigInput is a change of a configuration object.
type ConfigInput struct {
	Object string
	// Base is the version that the change is based on.
	Base protocol.Position
}

// ConfigOutput is the answer to a change.
type ConfigOutput struct {
	// Accepted is the version of an accepted change, otherwise zero.
	Accepted protocol.Position
	// Current is the current version that a conflict reported.
	Current protocol.Position
	// NotRun is set if the answer said that the change had no effect.
	NotRun bool
	// Unknown is set if the outcome of the change is unknown.
	Unknown bool
}

// configState is the version of one object. With lowerBound, as after a change of
// unknown outcome, the version is only known to be greater than version.
type configState struct {
	version    protocol.Position
	lowerBound bool
}

// ConfigModel is the sequential model of an object's versions: a change takes
// effect if and only if its base is the current version, each version is greater
// than the last, and a conflict reports the current version.
func ConfigModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionBy(func(input any) string { return input.(ConfigInput).Object }),
		Init:      func() []any { return []any{configState{}} },
		Step: func(state, input, output any) []any {
			return stepConfig(state.(configState), input.(ConfigInput), output.(ConfigOutput))
		},
	}
	return model.ToModel()
}

func stepConfig(s configState, in ConfigInput, out ConfigOutput) []any {
	switch {
	case out.NotRun:
		return []any{s}
	case out.Unknown:
		if s.mayEqual(in.Base) {
			return []any{s, configState{version: in.Base, lowerBound: true}}
		}
		return []any{s}
	case out.Accepted != 0:
		if s.mayEqual(in.Base) && out.Accepted > in.Base {
			return []any{configState{version: out.Accepted}}
		}
		return nil
	default:
		if s.mayEqual(out.Current) && out.Current != in.Base {
			return []any{configState{version: out.Current}}
		}
		return nil
	}
}

// mayEqual reports whether version can be the current version.
func (s configState) mayEqual(version protocol.Position) bool {
	if s.lowerBound {
		return version > s.version
	}
	return version == s.version
}

// Observation is the version of an object that was in force in a process at a time.
type Observation struct {
	Process string
	Object  string
	Version protocol.Position
	At      time.Time
}

// CheckMonotonic checks that the version of an object never decreases in the
// ordered observations of a process. It fails with ErrHistory.
func CheckMonotonic(observations []Observation) error {
	type processObject struct{ process, object string }
	highest := map[processObject]protocol.Position{}
	for _, o := range observations {
		key := processObject{o.Process, o.Object}
		if o.Version < highest[key] {
			return ErrHistory.New("%s had version %s of %s after version %s", o.Process, o.Version, o.Object, highest[key])
		}
		highest[key] = o.Version
	}
	return nil
}

// CheckInForce checks that each process had the accepted version or a newer one in
// force at some time, and no older one later than limit after the acceptance. It
// fails with ErrHistory.
func CheckInForce(accepted Observation, processes []string, observations []Observation, limit time.Duration) error {
	for _, process := range processes {
		deadline := accepted.At.Add(limit)
		seen := false
		for _, o := range observations {
			if o.Process != process || o.Object != accepted.Object {
				continue
			}
			seen = seen || o.Version >= accepted.Version
			if o.Version < accepted.Version && o.At.After(deadline) {
				return ErrHistory.New("%s had version %s of %s %v after version %s was accepted", process, o.Version, o.Object, o.At.Sub(accepted.At), accepted.Version)
			}
		}
		if !seen {
			return ErrHistory.New("%s never had version %s of %s or a newer one", process, accepted.Version, accepted.Object)
		}
	}
	return nil
}
