package history

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

func TestCheckAnswers(t *testing.T) {
	truncated := protocol.ErrTruncated.New("cut")
	cases := []struct {
		name   string
		answer Answer
		want   string
	}{
		{"whole", Answer{Want: "abc", Got: "abc", Retained: "abc"}, ""},
		{"truncated with an error", Answer{Want: "abc", Got: "ab", Err: truncated}, ""},
		{"truncated without an error", Answer{Want: "abc", Got: "ab"}, "without an error"},
		{"another's", Answer{Want: "abc", Got: "xyz"}, "without an error"},
		{"repeated prefix", Answer{Want: "abc", Got: "abab", Err: truncated}, "is not a prefix of its answer"},
		{"internal error", Answer{Want: "abc", Got: "ab", Err: ErrHistory.New("?")}, "internal error instead of a typed one"},
		{"retained answer differs", Answer{Want: "abc", Got: "abc", Retained: "ab"}, "a later read gave a different answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := CheckAnswers([]Answer{c.answer})
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}
