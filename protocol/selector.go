package protocol

import (
	"maps"
	"slices"
	"strings"
)

// ParseSelector reads a selector written as "key=value,key=value". For an
// empty text it returns an empty selector. It fails with ErrBadRequest.
func ParseSelector(text string) (Selector, error) {
	selector := Selector{}
	if text == "" {
		return selector, nil
	}
	for _, pair := range strings.Split(text, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || key == "" || value == "" {
			return nil, ErrBadRequest.New("selector %q: %q is not of the form key=value", text, pair)
		}
		if _, again := selector[key]; again {
			return nil, ErrBadRequest.New("selector %q has duplicate key %q", text, key)
		}
		selector[key] = value
	}
	return selector, nil
}

// String formats the selector as ParseSelector reads it, ordered by key.
func (s Selector) String() string {
	pairs := make([]string, 0, len(s))
	for _, key := range slices.Sorted(maps.Keys(s)) {
		pairs = append(pairs, key+"="+s[key])
	}
	return strings.Join(pairs, ",")
}
