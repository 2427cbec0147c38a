package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math"
)

// A journal file is the magic, a snapshot record and the records of Append. The payload of the
// snapshot record is a byte that says whether there is a snapshot, followed by the snapshot. The
// snapshot record is complete before the file gets its name, so that only later records can be
// torn.
//
// A record is a header, the payload and the end mark. The header holds the length of the payload,
// the CRC-32C of the payload and the CRC-32C of the first two fields, each as 4 bytes,
// big-endian. The header has its own checksum, so that a corrupted length is not taken for a torn
// tail. The end mark is not zero, so that an incomplete record is recognised: after a crash it
// ends in zeros or with the file, depending on the file system.
const (
	magic          = "sesame\x00\x01"
	headerSize     = 12
	endMark        = 0xa5
	recordOverhead = headerSize + 1
	noSnapshot     = 0
	withSnapshot   = 1
	// maxSnapshot leaves space for the byte before the snapshot, so that the length of the
	// payload fits an int32.
	maxSnapshot = math.MaxInt32 - 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// fileHeader returns the magic and the snapshot record.
func fileHeader(state []byte, hasSnapshot bool) []byte {
	payload := make([]byte, 1, 1+len(state))
	payload[0] = noSnapshot
	if hasSnapshot {
		payload[0] = withSnapshot
	}
	return appendRecord([]byte(magic), append(payload, state...))
}

func appendRecord(b, payload []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	b = append(b, payload...)
	return append(b, endMark)
}

// scan parses a whole file. It returns the content and the offset at which the complete records
// end. The error is a *CorruptionError.
func scan(path string, data []byte) (Recovery, int64, error) {
	written := bytes.TrimRight(data, "\x00")
	if !bytes.HasPrefix(written, []byte(magic)) {
		return Recovery{}, 0, &CorruptionError{
			Path:   path,
			Offset: 0,
			Reason: "the file does not begin with the magic bytes of a journal",
		}
	}
	offset := len(magic)
	snapshotRecord, n, reason := nextRecord(written[offset:])
	if n == 0 || len(snapshotRecord) == 0 || snapshotRecord[0] > withSnapshot {
		if reason == "" {
			reason = "the snapshot record is incomplete"
		}
		return Recovery{}, 0, &CorruptionError{
			Path:   path,
			Offset: int64(offset),
			Reason: reason,
		}
	}
	var recovery Recovery
	if snapshotRecord[0] == withSnapshot {
		recovery.Snapshot = bytes.Clone(snapshotRecord[1:])
	}
	offset += n
	for offset < len(written) {
		record, n, reason := nextRecord(written[offset:])
		if reason != "" {
			return Recovery{}, 0, &CorruptionError{
				Path:   path,
				Offset: int64(offset),
				Reason: reason,
			}
		}
		if n == 0 {
			break
		}
		recovery.Records = append(recovery.Records, record)
		offset += n
	}
	recovery.TornBytes = int64(len(data) - offset)
	recovery.Empty = snapshotRecord[0] == noSnapshot && len(recovery.Records) == 0
	return recovery, int64(offset), nil
}

// nextRecord returns the payload and the size of the first record in b. The size is 0 if the
// record is incomplete or corrupted; the reason is not empty if it is corrupted.
func nextRecord(b []byte) (payload []byte, size int, reason string) {
	if len(b) < headerSize {
		return nil, 0, ""
	}
	if crc32.Checksum(b[:8], castagnoli) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0, "the checksum of a record header does not match"
	}
	length := uint64(binary.BigEndian.Uint32(b))
	if uint64(len(b)) < length+recordOverhead {
		return nil, 0, ""
	}
	size = int(length) + recordOverhead
	payload = b[headerSize : size-1 : size-1]
	if b[size-1] != endMark || crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(b[4:]) {
		return nil, 0, "the checksum or end mark of a record does not match"
	}
	return payload, size, ""
}
