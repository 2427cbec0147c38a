package messenger

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the nesting of arrays and maps in a body. The msgpack library decodes
// them recursively: without the bound, a body of 15 MiB of nested arrays overflows the
// stack and crashes the process.
const maxDepth = 64

// Encode encodes the body of a message as msgpack. Equal values have equal encodings.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.SetSortMapKeys(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode message body: %w", err)
	}
	return buf.Bytes(), nil
}

// Decode decodes the body of a message into v. Unknown fields are ignored. The error is
// of type *MalformedError.
func Decode(body []byte, v any) error {
	if err := checkBody(body); err != nil {
		return err
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(body))
	if err := dec.Decode(v); err != nil {
		return &MalformedError{Reason: err.Error()}
	}
	return nil
}

// checkBody returns a *MalformedError unless the body is exactly one complete value whose
// nesting is less than maxDepth. Lengths are checked against the size of the body, so that
// the library allocates no more than a small multiple of that size.
func checkBody(b []byte) error {
	var remaining [maxDepth]uint64 // number of values not yet read, by depth
	depth := 0
	remaining[0] = 1
	for {
		for remaining[depth] == 0 {
			if depth == 0 {
				if len(b) > 0 {
					return &MalformedError{Reason: fmt.Sprintf("%d bytes follow the body", len(b))}
				}
				return nil
			}
			depth--
		}
		remaining[depth]--
		size, children, ok := measure(b)
		if !ok || size > uint64(len(b)) {
			return &MalformedError{Reason: "the body is incomplete or not msgpack"}
		}
		b = b[size:]
		if children == 0 {
			continue
		}
		if depth++; depth == maxDepth {
			return &MalformedError{Reason: fmt.Sprintf("the body is nested deeper than %d", maxDepth)}
		}
		remaining[depth] = children
	}
}

// measure returns the size in bytes of the first value in b without its children, and the
// number of its children. It returns false if b does not begin with a valid type byte and a
// complete length field.
func measure(b []byte) (size, children uint64, ok bool) {
	if len(b) == 0 {
		return 0, 0, false
	}
	c := b[0]
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return 1, 0, true
	case msgpcode.IsFixedMap(c):
		return 1, 2 * uint64(c&msgpcode.FixedMapMask), true
	case msgpcode.IsFixedArray(c):
		return 1, uint64(c & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedString(c):
		return 1 + uint64(c&msgpcode.FixedStrMask), 0, true
	case c >= msgpcode.FixExt1 && c <= msgpcode.FixExt16:
		return 2 + uint64(1)<<(c-msgpcode.FixExt1), 0, true
	}
	switch c {
	case msgpcode.Uint8, msgpcode.Int8:
		return 2, 0, true
	case msgpcode.Uint16, msgpcode.Int16:
		return 3, 0, true
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5, 0, true
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9, 0, true
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		return measureBytes(b, 1)
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16:
		return measureBytes(b, 2)
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32:
		return measureBytes(b, 4)
	case msgpcode.Array16, msgpcode.Map16:
		return measureCollection(b, 2)
	case msgpcode.Array32, msgpcode.Map32:
		return measureCollection(b, 4)
	default:
		return 0, 0, false
	}
}

// measureBytes is measure for a string, binary or extension whose length field has width
// bytes.
func measureBytes(b []byte, width int) (size, children uint64, ok bool) {
	n, ok := bigEndian(b[1:], width)
	size = 1 + uint64(width) + n
	if msgpcode.IsExt(b[0]) {
		size++ // the type byte of the extension
	}
	return size, 0, ok
}

// measureCollection is measure for an array or map whose length field has width bytes.
func measureCollection(b []byte, width int) (size, children uint64, ok bool) {
	n, ok := bigEndian(b[1:], width)
	if b[0] == msgpcode.Map16 || b[0] == msgpcode.Map32 {
		n *= 2
	}
	return 1 + uint64(width), n, ok
}

func bigEndian(b []byte, width int) (uint64, bool) {
	if len(b) < width {
		return 0, false
	}
	var full [8]byte
	copy(full[8-width:], b[:width])
	return binary.BigEndian.Uint64(full[:]), true
}
