package protocol

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the nesting of an encoding.
const maxDepth = 32

// checkEncoding fails with ErrBadRequest where data is not one whole msgpack
// value. The decoder allocates what an encoding declares, so a malformed length
// must be found before it decodes: here every declared element must be present.
func checkEncoding(data []byte) error {
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	open := []int{1}
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		inner, err := nextValue(decoder)
		if err != nil {
			return ErrBadRequest.Wrap(err, "check encoding")
		}
		if inner > 0 {
			open = append(open, inner)
		}
		if len(open) > maxDepth || inner > len(data) {
			return ErrBadRequest.New("encoding of %d bytes declares %d elements at depth %d", len(data), inner, len(open))
		}
	}
	return nil
}

// nextValue passes over one value, or over the head of an array or a map, and
// returns the number of values inside it.
func nextValue(decoder *msgpack.Decoder) (int, error) {
	code, err := decoder.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return decoder.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err := decoder.DecodeMapLen()
		return 2 * n, err
	default:
		return 0, decoder.Skip()
	}
}
