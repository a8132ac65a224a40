package conviction_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/state/conviction"
)

func TestConvicted(t *testing.T) {
	assert.Assert(t, !conviction.Convicted(2, 0))
	assert.Assert(t, conviction.Convicted(3, 0))
	assert.Assert(t, !conviction.Convicted(4, 2))
	assert.Assert(t, conviction.Convicted(5, 5))
}
