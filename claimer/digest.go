package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"strings"
)

// Digest identifies the contents of a bucket: the first 16 bytes of a SHA-256 sum. A merge of
// two buckets with equal digests changes neither.
type Digest [16]byte

// Bucket summarises the records of all keys that were created in one second.
type Bucket struct {
	// Second is the Unix time of the creation of the keys.
	Second int64  `msgpack:"second"`
	Digest Digest `msgpack:"digest"`
	// Records is the number of records in the bucket.
	Records int `msgpack:"records,omitempty"`
}

// entriesOf returns the entries of the keys that were created in a second, sorted by key. It
// deletes entries from the index that are no longer in the table.
func (t *Table) entriesOf(second int64) []*entry {
	if len(t.byCreation[second]) == 0 {
		return nil
	}
	entries := slices.DeleteFunc(t.byCreation[second], func(e *entry) bool { return t.records[e.key] != e })
	t.byCreation[second] = entries
	slices.SortFunc(entries, func(a, b *entry) int { return strings.Compare(a.key, b.key) })
	return entries
}

// bucket returns the bucket of a second, cached if no record of the bucket has changed.
func (t *Table) bucket(second int64) Bucket {
	if b, ok := t.digests[second]; ok {
		return b
	}
	b := Bucket{
		Second: second,
	}
	var input []byte
	for _, e := range t.entriesOf(second) {
		b.Records++
		rec := t.unpack(e, true)
		input = appendDigestInput(input, &rec)
	}
	sum := sha256.Sum256(input)
	copy(b.Digest[:], sum[:])
	if b.Records > 0 {
		t.digests[second] = b
	}
	return b
}

// appendDigestInput appends all fields that a merge compares: if two records agree in these
// fields, a merge changes neither.
func appendDigestInput(b []byte, r *Record) []byte {
	b = appendText(b, r.Key)
	b = binary.BigEndian.AppendUint64(b, r.Promised)
	b = binary.AppendUvarint(b, uint64(len(r.Claims)))
	for i := range r.Claims {
		c := &r.Claims[i]
		b = appendText(b, c.Coordinator.Host)
		b = binary.BigEndian.AppendUint64(b, c.Coordinator.Incarnation)
		b = binary.BigEndian.AppendUint64(b, c.Ballot)
		b = append(b, byte(c.Phase.rank()), toByte(c.AnswersEvicted)) //nolint:gosec // at most 3
	}
	return b
}

func toByte(on bool) byte {
	if on {
		return 1
	}
	return 0
}

// buckets returns all buckets that have records, ordered by second. It releases the lock
// between two buckets so that other calls can use the table.
func (t *Table) buckets() []Bucket {
	t.mu.Lock()
	seconds := slices.Sorted(maps.Keys(t.byCreation))
	t.mu.Unlock()
	buckets := make([]Bucket, 0, len(seconds))
	for _, s := range seconds {
		t.mu.Lock()
		b := t.bucket(s)
		t.mu.Unlock()
		if b.Records > 0 {
			buckets = append(buckets, b)
		}
	}
	return buckets
}

// compare fences the table against the views below that of the request and returns the buckets
// whose digests are not in the request. The digests are computed after the fencing, so that they
// cover all claims accepted in those views.
func (t *Table) compare(r Request) Reply {
	reply := t.fenceForSync(r)
	if reply.Status != Accepted {
		return reply
	}
	senderDigests := make(map[int64]Digest, len(r.Buckets))
	for _, b := range r.Buckets {
		senderDigests[b.Second] = b.Digest
	}
	reply.Buckets = slices.DeleteFunc(t.buckets(), func(b Bucket) bool { return senderDigests[b.Second] == b.Digest })
	return reply
}

// wrongView returns the reply to a request of a view in which the table does not answer.
func (t *Table) wrongView() Reply {
	return Reply{
		Status:     WrongView,
		SyncedView: t.synced,
	}
}

// fenceForSync fences the table against the views below that of the request.
func (t *Table) fenceForSync(r Request) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.View < t.fenced {
		return t.wrongView()
	}
	t.fenced = r.View
	return Reply{
		Status:     Accepted,
		From:       t.self,
		SyncedView: t.synced,
		Horizon:    t.horizon,
	}
}

// fetch returns the records of the buckets in the request whose digests differ, as many as fit
// into one reply. The table must already be fenced against the views below that of the request.
func (t *Table) fetch(r Request) Reply {
	if r.View != t.fenced {
		return t.wrongView()
	}
	reply := Reply{
		Status:     Accepted,
		From:       t.self,
		SyncedView: t.synced,
		Members:    t.members,
	}
	for i, b := range r.Buckets {
		afterKey := ""
		if i == 0 {
			afterKey = r.AfterKey
		}
		if afterKey == "" && t.bucket(b.Second).Digest == b.Digest {
			reply.CompletedBuckets++
			continue
		}
		for _, e := range t.entriesOf(b.Second) {
			if e.key <= afterKey {
				continue
			}
			if n := len(reply.Records); n > 0 && n+len(e.key)+len(e.packed) > t.ChunkBytes {
				reply.AfterKey = afterKey
				return reply
			}
			reply.Records = appendText(appendText(reply.Records, e.key), e.packed)
			afterKey = e.key
		}
		reply.CompletedBuckets++
	}
	return reply
}

// batch returns the first pending buckets, as many as fill about one reply with their records,
// each with the digest of this table.
func (t *Table) batch(pending []Bucket) []Bucket {
	t.mu.Lock()
	defer t.mu.Unlock()
	var batch []Bucket
	for records := 0; len(batch) < len(pending) && records < t.ChunkBytes/recordBytes; {
		p := pending[len(batch)]
		records += p.Records
		batch = append(batch, t.bucket(p.Second))
	}
	return batch
}

// mergeFetched merges the records of another table that a reply contains. It merges nothing if
// this table already answers in the view, since it may have accepted other claims in the view.
// It reports whether the reply was well formed.
func (t *Table) mergeFetched(view uint64, reply Reply) bool {
	var records []Record
	chunk := unpacker{
		unread: string(reply.Records),
	}
	for chunk.unread != "" && !chunk.malformed {
		key := strings.Clone(chunk.string())
		packed := unpacker{
			unread: chunk.string(),
		}
		records = append(records, memberList(reply.Members).unpack(&packed, key))
		chunk.malformed = chunk.malformed || packed.malformed || packed.unread != ""
	}
	if chunk.malformed {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.synced < view {
		t.merge(records)
	}
	return true
}

// tableReader reads, from the table of one member of the previous view, the records that the
// local table lacks or that differ. It changes only itself and the local table, so that tests
// can explore all message orders.
type tableReader struct {
	state tableState
	// view is the number of the view to be opened, previous that of the view before it.
	view, previous uint64
	// newestFirst reads the newest buckets first. Of two readers that start at opposite ends,
	// each skips the buckets that the other one has already merged.
	newestFirst bool
	compared    bool
	pending     []Bucket
	afterKey    string
}

// request returns the next request to the member. t is the local table.
func (r *tableReader) request(t *Table) Request {
	if !r.compared {
		return Request{
			Type:    TypeCompare,
			View:    r.view,
			Buckets: t.buckets(),
		}
	}
	return Request{
		Type:     TypeFetch,
		View:     r.view,
		Buckets:  t.batch(r.pending),
		AfterKey: r.afterKey,
	}
}

// handleReply applies a reply, and merges its records into the local table t. It reports whether
// another request is needed; if not, r.state.read reports whether t now has all records of the
// member.
func (r *tableReader) handleReply(t *Table, reply Reply) (more bool) {
	switch {
	case reply.Status != Accepted:
		r.state = tableState{
			member: r.state.member,
		}
		return false
	case !r.compared:
		r.compared = true
		r.state.process = reply.From
		r.state.synced = reply.SyncedView
		r.state.horizon = reply.Horizon
		if reply.SyncedView >= r.previous {
			// A table that was not synced for the previous view has accepted nothing in it.
			r.pending = reply.Buckets
		}
		if r.newestFirst {
			slices.Reverse(r.pending)
		}
	case !sameProcess(reply.From, r.state.process) || reply.CompletedBuckets > len(r.pending) || reply.CompletedBuckets == 0 && reply.AfterKey <= r.afterKey, !t.mergeFetched(r.view, reply):
		// The reply is malformed, or the process has restarted in the meantime and has lost
		// the remaining records.
		r.state = tableState{
			member: r.state.member,
		}
		return false
	default:
		r.pending = r.pending[reply.CompletedBuckets:]
		r.afterKey = reply.AfterKey
	}
	r.state.read = len(r.pending) == 0
	return !r.state.read
}
