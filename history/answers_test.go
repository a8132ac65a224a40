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
		{"cut with error", Answer{Want: "abc", Got: "ab", Err: truncated}, ""},
		{"cut silently", Answer{Want: "abc", Got: "ab"}, "without an error"},
		{"another's", Answer{Want: "abc", Got: "xyz"}, "without an error"},
		{"repeated part", Answer{Want: "abc", Got: "abab", Err: truncated}, "not its own"},
		{"error without type", Answer{Want: "abc", Got: "ab", Err: ErrHistory.New("?")}, "no clear error"},
		{"kept differs", Answer{Want: "abc", Got: "abc", Retained: "ab"}, "later read"},
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
