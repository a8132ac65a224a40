package fleet_test

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

func TestNodeChanges(t *testing.T) {
	before := &fleet.Node{Name: "a", GracePeriod: time.Second, MemoryMB: 300}
	after := &fleet.Node{Name: "b", GracePeriod: 2 * time.Second, MemoryMB: 300}
	assert.DeepEqual(t, before.Changes(after), []fleet.NodeChange{
		{Setting: "grace", Old: "1s", New: "2s"},
		{Setting: "name", Old: "a", New: "b", NeedsRestart: true},
	})
	assert.Equal(t, len(after.Changes(after)), 0)
}

// TestNodeChangesNameEveryField changes every field, so that a field that Changes
// does not compare fails the test.
func TestNodeChangesNameEveryField(t *testing.T) {
	var after fleet.Node
	fields := reflect.ValueOf(&after).Elem()
	for i := range fields.NumField() {
		switch f := fields.Field(i); f.Kind() {
		case reflect.String:
			f.SetString("x")
		case reflect.Float64:
			f.SetFloat(1)
		default:
			f.SetInt(1)
		}
	}
	assert.Equal(t, len((&fleet.Node{}).Changes(&after)), fields.NumField())
}
