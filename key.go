package sesamedrift

import (
	"hash/fnv"
	"regexp"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Names of the HTTP headers that carry a request key.
const (
	KeyHeader        = "Idempotency-Key"
	KeyCreatedHeader = "Idempotency-Key-Created"
)

const keySyntax = "[<domain>.]<id>, with an id of 1 to 128 letters, digits, '-' and '_'; " +
	"an id that is no UUIDv7 needs the header " + KeyCreatedHeader + " (RFC 3339)"

var keyPattern = regexp.MustCompile(`^(?:([a-z0-9][a-z0-9-]{0,62})\.)?([A-Za-z0-9_-]{1,128})$`)

// Key is a request key, which identifies a submission. Two submissions with equal keys are
// the same submission.
type Key struct {
	// Domain is the home failure domain if the key names it explicitly, or empty.
	Domain string `msgpack:"domain"`
	// ID is a UUIDv7 or an opaque identifier that the caller has chosen.
	ID string `msgpack:"id"`
	// Created is the creation time of the key in UTC, with a precision of milliseconds.
	Created time.Time `msgpack:"created"`
}

// NewKey returns a new unique key whose ID is a UUIDv7 with the time now. The domain is its
// home failure domain, or empty.
func NewKey(now time.Time, domain string) Key {
	id, err := uuid.NewV7()
	if err != nil {
		panic("sesamedrift: generate a UUIDv7: " + err.Error())
	}
	ms := uint64(now.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return Key{
		Domain:  domain,
		ID:      id.String(),
		Created: time.UnixMilli(now.UnixMilli()).UTC(),
	}
}

// ParseKey parses the text form of a key, the values of the headers KeyHeader and
// KeyCreatedHeader. For an opaque ID, created is the creation time (RFC 3339). For a UUIDv7,
// the creation time is taken from the ID, and created must be empty or the same time. Errors
// are of type *InvalidError.
func ParseKey(text, created string) (Key, error) {
	m := keyPattern.FindStringSubmatch(text)
	if m == nil {
		return Key{}, &InvalidError{Field: KeyHeader, Value: text, Want: keySyntax}
	}
	k := Key{Domain: m[1], ID: m[2]}
	if at, ok := timeOfUUID(k.ID); ok {
		k.Created = at
	}
	if created == "" {
		if k.Created.IsZero() {
			return Key{}, &InvalidError{Field: KeyHeader, Value: text, Want: keySyntax}
		}
		return k, nil
	}
	at, err := time.Parse(time.RFC3339, created)
	if err != nil {
		return Key{}, &InvalidError{Field: KeyCreatedHeader, Value: created, Want: "a time in RFC 3339 format"}
	}
	at = time.UnixMilli(at.UnixMilli()).UTC()
	if !k.Created.IsZero() && !at.Equal(k.Created) {
		return Key{}, &InvalidError{Field: KeyCreatedHeader, Value: created, Want: "the time in the UUIDv7, or no header"}
	}
	k.Created = at
	return k, nil
}

// timeOfUUID returns the time in a UUIDv7, or false if the id is not one.
func timeOfUUID(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC(), true
}

// String returns the text form of the key, [<domain>.]<id>, without the creation time.
func (k Key) String() string {
	if k.Domain == "" {
		return k.ID
	}
	return k.Domain + "." + k.ID
}

// Identity returns a text that is equal only for equal keys: the text form followed by the
// creation time in milliseconds.
func (k Key) Identity() string {
	return k.String() + "@" + k.Created.UTC().Format("20060102T150405.000")
}

// HomeDomain returns the home failure domain of the key: Domain, or if that is empty, the
// element of domains with the highest rendezvous hash for the ID. If domains is empty too, it
// returns "". The order of domains does not matter.
func (k Key) HomeDomain(domains []string) string {
	if k.Domain != "" {
		return k.Domain
	}
	home, _ := RendezvousNode(k.ID, domains, func(d string) string { return d })
	return home
}

// RendezvousNode returns the node that is responsible for an item in rendezvous hashing: the
// one with the highest hash, or of two with equal hashes the one with the lower name. It
// returns false if there are no nodes. The order of nodes does not matter.
func RendezvousNode[T any](item string, nodes []T, name func(n T) string) (T, bool) {
	var best T
	var highest uint64
	for i, n := range nodes {
		h := RendezvousHash(item, name(n))
		if i == 0 || h > highest || h == highest && name(n) < name(best) {
			best, highest = n, h
		}
	}
	return best, len(nodes) > 0
}

// RendezvousHash returns the hash of a node for an item. Since the node with the highest hash
// is responsible for the item, the addition or removal of a node changes only the assignment
// of the items of that node.
func RendezvousHash(item, node string) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(strings.Join([]string{item, node}, "\x00")))
	return mix(h.Sum64())
}

// mix distributes the bits of an FNV hash, whose high bits differ little between inputs that
// differ only in their last bytes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
