package state

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// encodeState encodes the state of one fold. Map keys are sorted, so that equal states
// have equal encodings.
func encodeState(v any) ([]byte, error) {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.SetSortMapKeys(true)
	encoder.SetOmitEmpty(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "encode state of a fold for a snapshot")
	}
	return data.Bytes(), nil
}

func decodeState(data []byte, v any) error {
	if err := msgpack.Unmarshal(data, v); err != nil {
		return protocol.ErrBadRequest.Wrap(err, "decode state of a fold from a snapshot")
	}
	return nil
}

func sortBy[T any](all []T, compare func(a, b T) int) { slices.SortFunc(all, compare) }

func sortByKey[T any](all []T, key func(T) string) {
	slices.SortFunc(all, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}
