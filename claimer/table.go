package claimer

import (
	"slices"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift/leaser"
)

// Default limits of a Table: 64 MiB of answers, 4 Mi records and replies of 1 MiB.
const (
	DefaultMaxAnswerBytes = 64 << 20
	DefaultMaxClaims      = 4 << 20
	DefaultChunkBytes     = 1 << 20
)

// compactSlack is the length of Table.withAnswers, beyond twice the number of records, up to which
// entries of removed records stay in it.
const compactSlack = 1024

// recordBytes is the approximate size, in a message, of a record without its answers.
const recordBytes = 150

// RequestType is the kind of a Request.
type RequestType string

// The request types. A table handles TypeMarkStarted, TypeAccept and TypeRecordOutcome alike,
// except that it accepts TypeRecordOutcome even if the key was created before the horizon.
const (
	// TypeClaim writes a claim with ballot 0 if the table has no record of the key.
	TypeClaim RequestType = "claim"
	// TypeMarkStarted writes the phase started.
	TypeMarkStarted RequestType = "mark"
	// TypeRecordOutcome writes the phase done with its outcome.
	TypeRecordOutcome RequestType = "record"
	// TypePrepare prepares a ballot: the table promises to reject lower ballots.
	TypePrepare RequestType = "take-over"
	// TypeAccept writes a claim with a prepared ballot.
	TypeAccept RequestType = "write"
	// TypeLookUp reads a record.
	TypeLookUp RequestType = "look-up"
	// TypeCompare fences the table against the views below View and compares its records with
	// Buckets.
	TypeCompare RequestType = "compare"
	// TypeFetch reads the records of those Buckets whose digests differ, after a TypeCompare.
	TypeFetch RequestType = "fetch"
)

// Request is a request to the table of a member.
type Request struct {
	Type RequestType `msgpack:"type"`
	// View is the number of the sender's view.
	View    uint64    `msgpack:"view"`
	Key     string    `msgpack:"key"`
	Created time.Time `msgpack:"created"`
	// Ballot is the ballot to prepare.
	Ballot uint64 `msgpack:"ballot,omitempty"`
	// Claim is the claim to write.
	Claim Claim `msgpack:"claim,omitempty"`
	// Buckets are the buckets of the sender. AfterKey is the key after which the first of them
	// is read.
	Buckets  []Bucket `msgpack:"buckets,omitempty"`
	AfterKey string   `msgpack:"after,omitempty"`
}

// needsRecord reports whether the reply must have the record even if the request is accepted.
func (r *Request) needsRecord() bool {
	return r.Type == TypePrepare || r.Type == TypeLookUp
}

// ReplyStatus is the result of a Request.
type ReplyStatus string

// The statuses of a reply.
const (
	// Accepted means that the table has executed the request.
	Accepted ReplyStatus = "accepted"
	// Exists means that the existing Record conflicts with the request.
	Exists ReplyStatus = "exists"
	// WrongView means that the table does not answer in the view of the request.
	WrongView ReplyStatus = "wrong-view"
	// KeyExpired means that the key is older than the retention time.
	KeyExpired ReplyStatus = "expired"
	// BeforeHorizon means that the key was created before the horizon of the table, so that its
	// record may have been lost.
	BeforeHorizon ReplyStatus = "before-horizon"
	// TableFull means that the table has reached Table.MaxClaims.
	TableFull ReplyStatus = "full"
)

// Reply is the reply to a Request.
type Reply struct {
	Status ReplyStatus `msgpack:"status"`
	// Record is the record of the key. It is empty if the table has accepted a claim, since
	// the sender has that claim.
	Record Record `msgpack:"record,omitempty"`
	// From, SyncedView, Horizon and Buckets are the result of a TypeCompare. From is the process
	// that owns the table, SyncedView the number of the last view whose records the table has,
	// and Buckets are the buckets that differ.
	From       leaser.Member `msgpack:"from,omitempty"`
	SyncedView uint64        `msgpack:"synced,omitempty"`
	Horizon    time.Time     `msgpack:"horizon,omitempty"`
	Buckets    []Bucket      `msgpack:"buckets,omitempty"`
	// Records, Members, CompletedBuckets and AfterKey are the result of a TypeFetch, which also
	// sets From and SyncedView. Records has packed records, whose coordinators are indices into
	// Members. CompletedBuckets is the number of buckets of the request that the reply
	// completes, and AfterKey the last key that it has of the next bucket.
	Records          []byte          `msgpack:"records,omitempty"`
	Members          []leaser.Member `msgpack:"members,omitempty"`
	CompletedBuckets int             `msgpack:"done,omitempty"`
	AfterKey         string          `msgpack:"after,omitempty"`
}

// entry is a packed record in a table.
type entry struct {
	key    string
	packed string
}

// Table stores the records of one member. It is safe for concurrent use.
type Table struct {
	// MaxAnswerBytes bounds the stored answers. Beyond it the oldest answers are evicted; the
	// claims and their status are kept.
	MaxAnswerBytes int
	// MaxClaims bounds the number of records; beyond it new keys are rejected.
	MaxClaims int
	// ChunkBytes bounds the records in one reply to a TypeFetch. A single record may exceed it.
	ChunkBytes int
	// ClockMargin delays the removal of expired records, in case the clock is set back.
	ClockMargin time.Duration

	self      leaser.Member
	retention time.Duration
	mu        sync.Mutex
	// records has all records by key; only put and remove change it. digests caches the
	// buckets that were computed since the last change of one of their records.
	records map[string]*entry
	members memberList
	digests map[int64]Bucket
	buffer  []byte
	// synced is the number of the view in which the table answers. fenced is the highest view
	// for which a member has read the table; requests of lower views are rejected.
	synced, fenced uint64
	horizon        time.Time
	answerBytes    int
	withAnswers    []*entry // entries that have or had answers, oldest first
	byCreation     creationIndex[*entry]
}

// NewTable returns an empty table, which answers in no view until Claimer.Sync has returned
// without an error. It keeps a record until its key is older than retention plus ClockMargin.
func NewTable(retention time.Duration) *Table {
	return &Table{
		MaxAnswerBytes: DefaultMaxAnswerBytes,
		MaxClaims:      DefaultMaxClaims,
		ChunkBytes:     DefaultChunkBytes,
		retention:      retention,
		records:        map[string]*entry{},
		digests:        map[int64]Bucket{},
		byCreation:     creationIndex[*entry]{},
	}
}

// Retention returns the age up to which keys are accepted.
func (t *Table) Retention() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retention
}

// SetRetention changes the age up to which keys are accepted. If it grows, keys whose records
// may have been removed under the old value are Unknown unless their outcome is recorded.
func (t *Table) SetRetention(now time.Time, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if removedBefore := now.Add(-t.retention); d > t.retention && removedBefore.After(t.horizon) {
		t.horizon = removedBefore
	}
	t.retention = d
}

// Handle executes a request of a member; view is the current view of this host. A request with
// another view number, or one that arrives before the table is synced for the view, gets the
// reply WrongView. TypeCompare and TypeFetch are also executed for a higher view; TypeCompare then
// fences the table against the current view.
func (t *Table) Handle(now time.Time, view leaser.View, r Request) Reply {
	if r.Type == TypeCompare {
		return t.compare(r)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Type == TypeFetch {
		return t.fetch(r)
	}
	if r.View != view.Number || r.View != t.synced || t.fenced > r.View {
		return t.wrongView()
	}
	if now.Sub(r.Created) > t.retention {
		return Reply{
			Status: KeyExpired,
		}
	}
	rec, exists := t.find(r.Key)
	if !exists {
		rec = Record{
			Key:     r.Key,
			Created: r.Created,
		}
	}
	oldAnswerBytes := answerBytes(&rec)
	status, changed := t.apply(&rec, r)
	if changed {
		if !exists && len(t.records) >= t.MaxClaims {
			return Reply{
				Status: TableFull,
			}
		}
		t.put(&rec, oldAnswerBytes)
	}
	reply := Reply{
		Status: status,
	}
	if status != Accepted || r.needsRecord() {
		reply.Record = rec
	}
	t.evictAnswers()
	return reply
}

func (t *Table) find(key string) (Record, bool) {
	e, ok := t.records[key]
	if !ok {
		return Record{}, false
	}
	return t.unpack(e, false), true
}

// unpack returns the record of an entry; see unpacker.omitPayload.
func (t *Table) unpack(e *entry, omitPayload bool) Record {
	u := unpacker{
		unread:      e.packed,
		omitPayload: omitPayload,
	}
	rec := t.members.unpack(&u, e.key)
	if u.malformed {
		panic("claimer: the packed record of key " + e.key + " in the table is malformed")
	}
	return rec
}

// put stores a record. oldAnswerBytes is the size of the answers of its stored version.
func (t *Table) put(rec *Record, oldAnswerBytes int) {
	t.buffer = t.members.pack(t.buffer[:0], rec)
	e, exists := t.records[rec.Key]
	switch {
	case !exists:
		e = &entry{
			key: rec.Key,
		}
		t.records[rec.Key] = e
		t.byCreation.add(rec.Created, e)
	case e.packed == string(t.buffer):
		return
	}
	e.packed = string(t.buffer)
	delete(t.digests, rec.Created.Unix())
	newAnswerBytes := answerBytes(rec)
	t.answerBytes += newAnswerBytes - oldAnswerBytes
	if oldAnswerBytes == 0 && newAnswerBytes > 0 {
		t.withAnswers = append(t.withAnswers, e)
	}
}

func (t *Table) remove(rec *Record) {
	t.answerBytes -= answerBytes(rec)
	delete(t.records, rec.Key)
	delete(t.digests, rec.Created.Unix())
}

// apply executes the request on the record unless the record conflicts with it. It reports
// whether the record must be stored.
func (t *Table) apply(rec *Record, r Request) (status ReplyStatus, changed bool) {
	_, done := rec.doneClaim()
	if !done && r.Created.Before(t.horizon) && r.Type != TypeRecordOutcome {
		return BeforeHorizon, false
	}
	switch r.Type {
	case TypeClaim:
		// A claim of the same process conflicts too: the record may be of an earlier attempt,
		// whose late messages must not count for this attempt.
		if rec.Promised > 0 || len(rec.Claims) > 0 {
			return Exists, false
		}
		rec.Claims = []Claim{r.Claim}
	case TypePrepare:
		if r.Ballot < rec.Promised || r.Ballot <= rec.ballot() {
			return Exists, false
		}
		rec.Promised = r.Ballot
	case TypeMarkStarted, TypeRecordOutcome, TypeAccept:
		c := r.Claim
		if c.Ballot < rec.Promised || c.Ballot < rec.ballot() {
			return Exists, false
		}
		for _, existing := range rec.Claims {
			if existing.Ballot == c.Ballot && existing.coordinatedBy(c.Coordinator) && !c.supersedes(existing) {
				return Accepted, false
			}
		}
		rec.Claims = []Claim{c}
	case TypeLookUp, TypeCompare, TypeFetch:
		return Accepted, false
	default:
		// The sender runs another version. In a version without TypeCompare, the type "sync"
		// requested a whole table; its sender must not take this reply for an empty table.
		return WrongView, false
	}
	return Accepted, true
}

func answerBytes(rec *Record) int {
	n := 0
	for _, c := range rec.Claims {
		for _, a := range c.Outcome.Answers {
			n += len(a)
		}
	}
	return n
}

// evictAnswers evicts the oldest answers beyond MaxAnswerBytes.
func (t *Table) evictAnswers() {
	for t.answerBytes > t.MaxAnswerBytes && len(t.withAnswers) > 0 {
		e := t.withAnswers[0]
		t.withAnswers = t.withAnswers[1:]
		if t.records[e.key] != e {
			continue
		}
		rec := t.unpack(e, false)
		oldAnswerBytes := answerBytes(&rec)
		for i := range rec.Claims {
			if len(rec.Claims[i].Outcome.Answers) > 0 {
				rec.Claims[i].Outcome.Answers = nil
				rec.Claims[i].AnswersEvicted = true
			}
		}
		t.put(&rec, oldAnswerBytes)
	}
}

// Expire removes the records of keys that all hosts reject as expired, which are those older than
// the retention time plus ClockMargin. It returns the number of removed records.
func (t *Table) Expire(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	t.byCreation.removeBefore(now.Add(-t.retention-t.ClockMargin), func(e *entry, _ int64) {
		// The index may still have the entry of a record that was retracted.
		if t.records[e.key] == e {
			rec := t.unpack(e, false)
			t.remove(&rec)
			n++
		}
	})
	if len(t.withAnswers) > compactSlack+2*len(t.records) {
		t.withAnswers = slices.DeleteFunc(t.withAnswers, func(e *entry) bool { return t.records[e.key] != e })
	}
	return n
}

// Len returns the number of records in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Merge merges the records of another table into this one.
func (t *Table) Merge(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(records)
}

func (t *Table) merge(records []Record) {
	for _, incoming := range records {
		rec, ok := t.find(incoming.Key)
		if !ok {
			rec = Record{
				Key:     incoming.Key,
				Created: incoming.Created,
			}
		}
		oldAnswerBytes := answerBytes(&rec)
		rec.Promised = max(rec.Promised, incoming.Promised)
		for _, c := range incoming.Claims {
			rec.merge(c)
		}
		t.put(&rec, oldAnswerBytes)
	}
	t.evictAnswers()
}

// fence makes the table reject requests of views below the number.
func (t *Table) fence(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fenced = max(t.fenced, number)
}

// open lets the table answer in the view. It returns false if the table has been fenced for or
// opened in a higher view in the meantime. Keys created before the horizon are Unknown unless
// their outcome is recorded.
func (t *Table) open(number uint64, horizon time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fenced > number || t.synced > number {
		return false
	}
	t.synced, t.fenced = number, number
	if horizon.After(t.horizon) {
		t.horizon = horizon
	}
	return true
}

// SyncedView returns the number of the view in which the table answers, or 0 if there is none.
func (t *Table) SyncedView() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

// get returns a copy of the record of a key, which is empty if there is none.
func (t *Table) get(key string) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec, _ := t.find(key)
	return rec
}

// retract removes the record of a first claim that its coordinator has abandoned, unless a higher
// ballot was prepared.
func (t *Table) retract(key string, by leaser.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec, ok := t.find(key)
	if ok && rec.Promised == 0 && rec.ballot() == 0 && len(rec.Claims) == 1 && rec.Claims[0].coordinatedBy(by) && rec.Claims[0].Phase != Done {
		t.remove(&rec)
	}
}
