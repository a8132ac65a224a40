package crashlimit_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/state/crashlimit"
)

func TestReached(t *testing.T) {
	assert.Assert(t, !crashlimit.Reached(2, 0))
	assert.Assert(t, crashlimit.Reached(3, 0))
	assert.Assert(t, !crashlimit.Reached(4, 2))
	assert.Assert(t, crashlimit.Reached(5, 5))
}
