package protocol

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the maximum nesting depth of an encoding.
const maxDepth = 32

// checkEncoding fails with ErrBadRequest if data is not one complete msgpack
// value. The decoder allocates as much memory as the encoding's lengths declare,
// so malformed lengths must be rejected before decoding: checkEncoding requires
// every declared element to be present.
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

// nextValue skips one scalar value, or the header of an array or a map, and returns
// the number of values inside it.
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
