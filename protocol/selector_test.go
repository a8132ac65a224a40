package protocol

import (
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

func TestParseSelector(t *testing.T) {
	tests := map[string]struct {
		text    string
		want    string
		refused bool
	}{
		"one":           {"unit=a", "unit=a", false},
		"in key order":  {"unit=a,role=x", "role=x,unit=a", false},
		"spaces":        {"unit=a, role=x", "role=x,unit=a", false},
		"empty":         {"", "", false},
		"equals inside": {"a=b=c", "a=b=c", false},
		"no value":      {"unit", "", true},
		"empty value":   {"unit=", "", true},
		"empty key":     {"=a", "", true},
		"trailing":      {"unit=a,", "", true},
		"key twice":     {"unit=a,unit=b", "", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := ParseSelector(test.text)
			assert.Equal(t, errorx.IsOfType(err, ErrBadRequest), test.refused, "%v", err)
			assert.Equal(t, s.String(), test.want)
		})
	}
}
