package history

import (
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// ConfigInput is one change of one configuration object.
type ConfigInput struct {
	Object string
	// Base is the version that the change was made from.
	Base protocol.Position
}

// ConfigOutput is what the operator was told.
type ConfigOutput struct {
	// Accepted is the version of an accepted change, zero for any other.
	Accepted protocol.Position
	// Current is the version that a conflict showed.
	Current protocol.Position
	// NotRun is set where the answer said that the change has had no effect.
	NotRun bool
	// Unknown is set where the operator was not told what became of the change.
	Unknown bool
}

// configState is the version of one object. After a change of unknown outcome
// the version is only known to lie above one.
type configState struct {
	version    protocol.Position
	lowerBound bool
}

// ConfigModel is the sequential model of an object's versions: a change takes
// effect exactly where its base is the current version, each version is above
// the last, and a conflict shows the current version.
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

func (s configState) mayEqual(version protocol.Position) bool {
	if s.lowerBound {
		return version > s.version
	}
	return version == s.version
}

// Observation is a version of an object that a process had in force.
type Observation struct {
	Process string
	Object  string
	Version protocol.Position
	At      time.Time
}

// CheckMonotonic reports a process in whose observations, in order, a version
// went back.
func CheckMonotonic(observations []Observation) error {
	type place struct{ process, object string }
	highest := map[place]protocol.Position{}
	for _, o := range observations {
		at := place{o.Process, o.Object}
		if o.Version < highest[at] {
			return ErrHistory.New("%s had version %s of %s after %s", o.Process, o.Version, o.Object, highest[at])
		}
		highest[at] = o.Version
	}
	return nil
}

// CheckInForce reports a process that had an older version in force later than
// limit after the acceptance, or was not observed after that at all.
func CheckInForce(accepted Observation, processes []string, observations []Observation, limit time.Duration) error {
	for _, process := range processes {
		late := accepted.At.Add(limit)
		seen := false
		for _, o := range observations {
			if o.Process != process || o.Object != accepted.Object {
				continue
			}
			seen = seen || o.Version >= accepted.Version
			if o.Version < accepted.Version && o.At.After(late) {
				return ErrHistory.New("%s had version %s of %s %v after %s was accepted", process, o.Version, o.Object, o.At.Sub(accepted.At), accepted.Version)
			}
		}
		if !seen {
			return ErrHistory.New("%s never had version %s of %s", process, accepted.Version, accepted.Object)
		}
	}
	return nil
}
