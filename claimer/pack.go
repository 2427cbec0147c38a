package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaser"
)

// Packed records store a phase or status as its index in phases or statuses.
var (
	phases   = []Phase{"", Queued, Started, Done}
	statuses = []sesamedrift.Status{
		"", sesamedrift.Complete, sesamedrift.Failed, sesamedrift.Refused, sesamedrift.Unknown, sesamedrift.Cancelled,
	}
)

// unlistedStatus is stored for a status that is not in statuses; the text of the status follows.
const unlistedStatus = 255

// The flags of a packed claim.
const (
	packedFinal = 1 << iota
	packedAnswersEvicted
	// packedOutcome means that an outcome follows.
	packedOutcome
	// packedBinaryHash means that the payload hash, a hexadecimal text, is stored as 32 bytes.
	packedBinaryHash
	// packedDerivedKey means that the key of the outcome is not stored, since it is the
	// keyText of the record's key.
	packedDerivedKey
	// packedSameDigest means that the digest of the outcome is not stored, since it is the
	// payload hash of the claim.
	packedSameDigest
)

// memberList lists the coordinators to which the packed records of a table refer by index. It
// grows by one for each host process that claims a key, and never shrinks.
type memberList []leaser.Member

// indexOf returns the index of a member, which it appends if it is not in the list.
func (m *memberList) indexOf(of leaser.Member) uint64 {
	i := slices.Index(*m, of)
	if i < 0 {
		i = len(*m)
		*m = append(*m, of)
	}
	return uint64(i) //nolint:gosec // an index
}

// pack appends a record without its key. Claims take the key and the creation time from their
// record. The time of a change is stored as its distance from the creation time, which is
// clamped to 292 years.
func (m *memberList) pack(b []byte, r *Record) []byte {
	b = appendTime(b, r.Created)
	b = binary.AppendUvarint(b, r.Promised)
	b = binary.AppendUvarint(b, uint64(len(r.Claims)))
	for i := range r.Claims {
		b = m.packClaim(b, r.Key, r.Created, &r.Claims[i])
	}
	return b
}

func (m *memberList) packClaim(b []byte, key string, created time.Time, c *Claim) []byte {
	var flags byte
	set := func(flag byte, on bool) {
		if on {
			flags |= flag
		}
	}
	o := &c.Outcome
	var hash [sha256.Size]byte
	set(packedFinal, c.Final)
	set(packedAnswersEvicted, c.AnswersEvicted)
	set(packedOutcome, c.Phase == Done || o.Status != "")
	set(packedBinaryHash, fromHex(&hash, c.PayloadHash))
	set(packedDerivedKey, o.Key == keyText(key))
	set(packedSameDigest, o.Digest == c.PayloadHash)
	b = append(b, flags, byte(c.Phase.rank())) //nolint:gosec // at most 3
	b = binary.AppendUvarint(b, m.indexOf(c.Coordinator))
	b = binary.AppendUvarint(b, c.Ballot)
	b = binary.AppendVarint(b, int64(c.UpdatedAt.Sub(created)))
	if flags&packedBinaryHash != 0 {
		b = append(b, hash[:]...)
	} else {
		b = appendText(b, c.PayloadHash)
	}
	if flags&packedOutcome == 0 {
		return b
	}
	status := byte(slices.Index(statuses, o.Status)) //nolint:gosec // -1 is unlistedStatus
	if b = append(b, status); status == unlistedStatus {
		b = appendText(b, string(o.Status))
	}
	if flags&packedDerivedKey == 0 {
		b = appendText(b, o.Key)
	}
	if flags&packedSameDigest == 0 {
		b = appendText(b, o.Digest)
	}
	b = appendText(b, o.Reason)
	b = binary.AppendVarint(b, int64(o.Task))
	b = binary.AppendVarint(b, int64(o.RetryAfter))
	b = binary.AppendUvarint(b, uint64(len(o.Answers)))
	for _, a := range o.Answers {
		b = appendText(b, string(a))
	}
	return b
}

// fromHex decodes a hash from lower-case hexadecimal text. It reports whether the text is such a
// hash.
func fromHex(hash *[sha256.Size]byte, text string) bool {
	if len(text) != hex.EncodedLen(len(hash)) || strings.ContainsAny(text, "ABCDEF") {
		return false
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return err == nil
}

// keyText returns an identity without the creation time at its end.
func keyText(identity string) string {
	return identity[:max(0, strings.LastIndexByte(identity, '@'))]
}

// appendText appends the length of a text and the text.
func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendTime(b []byte, t time.Time) []byte {
	b = binary.AppendVarint(b, t.Unix())
	return binary.AppendUvarint(b, uint64(t.Nanosecond())) //nolint:gosec // not negative
}

// unpacker reads packed data. After it has met malformed data it returns only zero values.
type unpacker struct {
	unread    string
	malformed bool
	// omitPayload skips the binary payload hashes and the answers.
	omitPayload bool
}

func (u *unpacker) uvarint() uint64 {
	var v uint64
	for i := range min(len(u.unread), binary.MaxVarintLen64) {
		c := u.unread[i]
		v |= uint64(c&0x7f) << (7 * i)
		if c < 0x80 {
			u.unread = u.unread[i+1:]
			return v
		}
	}
	u.fail()
	return 0
}

func (u *unpacker) fail() {
	u.unread, u.malformed = "", true
}

func (u *unpacker) varint() int64 {
	v := u.uvarint()
	return int64(v>>1) ^ -int64(v&1) //nolint:gosec // zigzag encoding
}

// next returns the next n bytes.
func (u *unpacker) next(n uint64) string {
	if n > uint64(len(u.unread)) {
		u.fail()
		return ""
	}
	s := u.unread[:n]
	u.unread = u.unread[n:]
	return s
}

func (u *unpacker) string() string { return u.next(u.uvarint()) }

func (u *unpacker) byte() byte {
	if s := u.next(1); s != "" {
		return s[0]
	}
	return 0
}

func (u *unpacker) time() time.Time {
	seconds, nanos := u.varint(), u.uvarint()
	return time.Unix(seconds, int64(nanos)).UTC() //nolint:gosec // below 1e9
}

// count reads the number of elements that follow. A number above that of the unread bytes is
// malformed, since each element has at least one byte.
func (u *unpacker) count() int {
	n := u.uvarint()
	if n > uint64(len(u.unread)) {
		u.fail()
		return 0
	}
	return int(n) //nolint:gosec // at most the length of a text
}

// unpack reads the record of a key. The texts of the record share memory with the packed data.
func (m memberList) unpack(u *unpacker, key string) Record {
	r := Record{
		Key:      key,
		Created:  u.time(),
		Promised: u.uvarint(),
	}
	if n := u.count(); n > 0 {
		r.Claims = make([]Claim, n)
	}
	for i := range r.Claims {
		c := &r.Claims[i]
		c.Key, c.Created = key, r.Created
		m.unpackClaim(u, c)
	}
	return r
}

func (m memberList) unpackClaim(u *unpacker, c *Claim) {
	flags := u.byte()
	if phase := u.byte(); int(phase) < len(phases) {
		c.Phase = phases[phase]
	}
	if n := u.uvarint(); n < uint64(len(m)) {
		c.Coordinator = m[n]
	} else {
		u.fail()
	}
	c.Final = flags&packedFinal != 0
	c.AnswersEvicted = flags&packedAnswersEvicted != 0
	c.Ballot = u.uvarint()
	c.UpdatedAt = c.Created.Add(time.Duration(u.varint()))
	switch {
	case flags&packedBinaryHash == 0:
		c.PayloadHash = u.string()
	case u.omitPayload:
		u.next(sha256.Size)
	default:
		c.PayloadHash = hex.EncodeToString([]byte(u.next(sha256.Size)))
	}
	if flags&packedOutcome == 0 {
		return
	}
	o := &c.Outcome
	switch status := u.byte(); {
	case int(status) < len(statuses):
		o.Status = statuses[status]
	case status == unlistedStatus:
		o.Status = sesamedrift.Status(u.string())
	default:
		u.fail()
	}
	o.Key, o.Digest = keyText(c.Key), c.PayloadHash
	if flags&packedDerivedKey == 0 {
		o.Key = u.string()
	}
	if flags&packedSameDigest == 0 {
		o.Digest = u.string()
	}
	o.Reason = u.string()
	o.Task = int(u.varint())
	o.RetryAfter = time.Duration(u.varint())
	n := u.count()
	if u.omitPayload {
		for range n {
			u.string()
		}
		return
	}
	if n > 0 {
		o.Answers = make([][]byte, n)
	}
	for i := range o.Answers {
		o.Answers[i] = []byte(u.string())
	}
}
