package messenger

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

type frameType uint8

// Types of frames. The numbers are part of the protocol.
const (
	frameHello   frameType = 1
	frameRequest frameType = 2
	frameReply   frameType = 3
	frameError   frameType = 4
	frameOneWay  frameType = 5
	// frameRefusal replies to a request for which no handler was started. It is separate
	// from frameError so that no handler can produce it.
	frameRefusal frameType = 6
	// frameGoodbye is the last frame that a listener sends. Requests to which the listener
	// has not replied before it were not handled and will not be.
	frameGoodbye frameType = 7
)

const (
	lengthSize = 4
	// frameOverhead is the largest size in bytes of the fields of a frame other than its
	// length field and body: array header, type, id, kind and length of the body.
	frameOverhead = 1 + 1 + 9 + 3 + 5
	// maxHelloFrame bounds the size in bytes of a hello, the only frame that is read before
	// the token of the other side has been checked.
	maxHelloFrame = 4096
)

// frame is a decoded frame.
type frame struct {
	typ  frameType
	id   uint64
	kind Kind
	body []byte
}

// encoder appends encoded frames to buf. It is not safe for concurrent use.
type encoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

func newEncoder() *encoder {
	e := &encoder{}
	e.enc = msgpack.NewEncoder(&e.buf)
	return e
}

func (e *encoder) add(f frame) {
	start := e.buf.Len()
	e.buf.Write(make([]byte, lengthSize))
	err := e.enc.EncodeArrayLen(4)
	if err == nil {
		err = e.enc.EncodeUint(uint64(f.typ))
	}
	if err == nil {
		err = e.enc.EncodeUint(f.id)
	}
	if err == nil {
		err = e.enc.EncodeUint(uint64(f.kind))
	}
	if err == nil {
		err = e.enc.EncodeBytesLen(len(f.body))
	}
	if err != nil {
		panic("messenger: the header of a frame cannot be encoded: " + err.Error())
	}
	e.buf.Write(f.body)
	binary.BigEndian.PutUint32(e.buf.Bytes()[start:], uint32(e.buf.Len()-start-lengthSize))
}

// decoder reads frames from a connection. It is not safe for concurrent use.
type decoder struct {
	r     *bufio.Reader
	bytes bytes.Reader
	dec   *msgpack.Decoder
}

func newDecoder(r io.Reader) *decoder {
	d := &decoder{r: bufio.NewReaderSize(r, readBuffer)}
	d.dec = msgpack.NewDecoder(&d.bytes)
	return d
}

// read returns the next frame and its size on the wire in bytes. The error is of type
// *TooLargeError or *MalformedError, or is the error of the connection.
func (d *decoder) read(maxFrame int) (frame, int, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(d.r, length[:]); err != nil {
		return frame{}, 0, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if uint64(n) > uint64(maxFrame) {
		return frame{}, 0, &TooLargeError{
			Size: int(n),
			Max:  maxFrame,
		}
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(d.r, b); err != nil {
		return frame{}, 0, err
	}
	f, err := d.decode(b)
	return f, len(b) + lengthSize, err
}

// decode decodes b, a frame without its length field. The body of the frame shares memory
// with b.
func (d *decoder) decode(b []byte) (frame, error) {
	d.bytes.Reset(b)
	d.dec.Reset(&d.bytes)
	fields, err := d.dec.DecodeArrayLen()
	if err != nil || fields != 4 {
		return frame{}, &MalformedError{Reason: "a frame is not an array of 4 elements"}
	}
	typ, err := d.dec.DecodeUint64()
	if err != nil || typ < uint64(frameHello) || typ > uint64(frameGoodbye) {
		return frame{}, &MalformedError{Reason: "unknown frame type"}
	}
	id, err := d.dec.DecodeUint64()
	if err != nil {
		return frame{}, &MalformedError{Reason: "the frame identifier is not a number"}
	}
	kind, err := d.dec.DecodeUint64()
	if err != nil || kind > math.MaxUint16 {
		return frame{}, &MalformedError{Reason: "the message kind is not a 16-bit number"}
	}
	size, err := d.dec.DecodeBytesLen()
	if err != nil || max(size, 0) != d.bytes.Len() {
		return frame{}, &MalformedError{Reason: "the body does not fill the frame"}
	}
	return frame{
		typ:  frameType(typ),
		id:   id,
		kind: Kind(kind),
		body: b[len(b)-d.bytes.Len():],
	}, nil
}
