package crashlimit_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/state/crashlimit"
)

// run returns a run of a request at a target that crashed. Suspected parts have a star.
func run(request, target string, parts ...string) crashlimit.Run {
	r := crashlimit.Run{Request: request, Target: target}
	for _, part := range parts {
		name, suspected := strings.CutSuffix(part, "*")
		if suspected {
			r.Suspected = append(r.Suspected, name)
		}
		r.Parts = append(r.Parts, name)
	}
	return r
}

func names(parts map[string]bool) []string { return slices.Sorted(maps.Keys(parts)) }

// TestHarmlessPartsOfTheSameRequestsAreSpared judges crashes under requests that share the
// part x and differ in the others, with a harmless request beside each. Only x is implicated:
// it explains the crashes of all the others.
func TestHarmlessPartsOfTheSameRequestsAreSpared(t *testing.T) {
	runs := []crashlimit.Run{
		run("r1", "t1", "a", "x"), run("r1", "t2", "a", "x"), run("r2", "t3", "b", "x"),
		run("r3", "t4", "a*", "x*"), run("r4", "t5", "a*", "x*"),
		run("s1", "t1", "a", "y"), run("s2", "t2", "a", "y"), run("s3", "t3", "a", "z"),
		run("s4", "t4", "a*", "y"), run("s5", "t5", "a*", "y*"),
	}
	v := crashlimit.JudgeParts(runs, crashlimit.PartHistory{})
	assert.DeepEqual(t, names(v.Implicated), []string{"x"})
	assert.DeepEqual(t, names(v.Suspected), []string{"x"})
}

// TestOneRequestImplicatesNoPart sends one request again and again: it is stopped by itself,
// and its parts may be harmless.
func TestOneRequestImplicatesNoPart(t *testing.T) {
	var runs []crashlimit.Run
	for i := range 8 {
		runs = append(runs, run("r", fmt.Sprint("t", i), "a*", "x*"))
	}
	assert.Equal(t, len(crashlimit.JudgeParts(runs, crashlimit.PartHistory{}).Implicated), 0)
}

// TestTargetsLostTogetherImplicateNoPart loses many targets at once, each with a request that
// has the popular part a. All these runs began before anything was suspected.
func TestTargetsLostTogetherImplicateNoPart(t *testing.T) {
	var runs []crashlimit.Run
	for i := range 20 {
		runs = append(runs, run(fmt.Sprint("r", i), fmt.Sprint("t", i), "a", fmt.Sprint(i)))
	}
	runs = append(runs, run("later", "t20", "a*", "b"))
	v := crashlimit.JudgeParts(runs, crashlimit.PartHistory{})
	assert.Equal(t, len(v.Implicated), 0)
	assert.Assert(t, v.Suspected["a"])
}

// TestPopularPartExplainsNoCrashesOfAnother judges the part x beside the first part of its
// requests, which other requests share and which was in flight at more crashes: the runs
// with x at some of the targets are not known. The first part must not explain the crashes
// of x, neither when it was cleared before, nor when it is in flight at few more, nor once
// x is quarantined.
func TestPopularPartExplainsNoCrashesOfAnother(t *testing.T) {
	for unknown, history := range map[int]crashlimit.PartHistory{
		2: {},
		5: {Cleared: map[string]bool{"first": true}},
		9: {Quarantined: map[string]bool{"x": true}},
	} {
		var runs []crashlimit.Run
		for i := range 6 + unknown {
			parts := []string{"first*", "x*"}
			if i >= 6 {
				parts = parts[:1]
			}
			runs = append(runs, run(fmt.Sprint("r", i), fmt.Sprint("t", i), parts...))
		}
		v := crashlimit.JudgeParts(runs, history)
		assert.Assert(t, v.Implicated["x"] && v.Suspected["x"], "%d runs with x are not known: %v", unknown, v)
	}
}
