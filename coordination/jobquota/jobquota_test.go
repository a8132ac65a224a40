package jobquota_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoretally/sycamoretally/coordination/jobquota"
)

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		waiting, tokens, quota int64
		want                   jobquota.Verdict
	}{
		{0, 10, 0, jobquota.Append},
		{0, 10, 9, jobquota.Refuse},
		{0, 10, 10, jobquota.AppendIfUnchanged},
		{0, 10, 1010, jobquota.Append},
		{1, 10, 1010, jobquota.AppendIfUnchanged},
		{1001, 10, 1010, jobquota.Refuse},
	} {
		assert.Equal(t, jobquota.Decide(test.waiting, test.tokens, test.quota), test.want, "%+v", test)
	}
}

// TestConcurrentAcceptsFitQuota lets gateways accept jobs of one size that they do not
// know of from each other, as many as arrive within one read of the log. Together they
// must not exceed the quota.
func TestConcurrentAcceptsFitQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.Int64Range(1, 1e6).Draw(t, "quota")
		tokens := rapid.Int64Range(1, 1e4).Draw(t, "tokens")
		known := rapid.Int64Range(0, quota).Draw(t, "known")
		accepted := known
		for range rapid.IntRange(1, 100).Draw(t, "gateways") {
			if jobquota.Decide(known, tokens, quota) == jobquota.Append {
				accepted += tokens
			}
		}
		if accepted > quota {
			t.Fatalf("%d tokens waiting, quota %d", accepted, quota)
		}
	})
}
