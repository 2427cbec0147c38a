// Package journaler stores records durably in an append-only journal file, with snapshots that
// replace earlier records.
//
// A record whose Append returned nil survives crashes of the process and of the machine: the file
// and its folder are synced before Append returns. A record whose Append returned an error, or
// did not return before a crash, may or may not be recovered. Records are recovered in the order
// in which they were committed; the records of one caller keep their order.
//
// A crash during a write leaves a torn tail, which Open truncates. Any other difference from what
// was written, even in the last record, is reported as a *CorruptionError: a replica that lost an
// acknowledged record without notice would violate its guarantees. The caller may then call
// Reset, which renames the corrupted file, and must restore the state from elsewhere. The loss of
// whole records at the end of the file, for example by truncation at a record boundary, cannot be
// detected.
//
// After a failed write or sync the journal accepts no more records, because the state of the file
// is unknown until it is opened again. The caller ensures that at most one Journal is open for a
// folder. A Journal is safe for concurrent use.
package journaler

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
)

const (
	fileName     = "journal"
	newFileName  = "journal.new"
	backupPrefix = "journal.damaged-"

	filePerm   = 0o600
	folderPerm = 0o700

	// DefaultMaxRecord is the limit on the size of a record in bytes if Config.MaxRecord is not
	// set.
	DefaultMaxRecord = 4 << 20

	// queueSize is the number of requests that can wait for the next commit.
	queueSize = 256
	// maxBatchBytes is the size from which a commit takes no further record, so that the buffer
	// of the committing goroutine stays small.
	maxBatchBytes = 1 << 20
)

// Config describes a journal. Only Dir is required.
type Config struct {
	// Dir is the data folder; it is created if it does not exist.
	Dir string
	// MaxRecord is the limit on the size of a record in bytes; DefaultMaxRecord if it is zero. It
	// does not apply to snapshots; both are always smaller than 2 GiB.
	MaxRecord int
	// Sync makes the content of a file or folder durable; (*os.File).Sync if it is nil.
	Sync func(*os.File) error
	// Write writes to a file; (*os.File).Write if it is nil.
	Write func(*os.File, []byte) (int, error)
}

// withDefaults sets the fields that are not set.
func (cfg Config) withDefaults() Config {
	if cfg.MaxRecord <= 0 {
		cfg.MaxRecord = DefaultMaxRecord
	}
	cfg.MaxRecord = min(cfg.MaxRecord, maxSnapshot)
	if cfg.Sync == nil {
		cfg.Sync = (*os.File).Sync
	}
	if cfg.Write == nil {
		cfg.Write = (*os.File).Write
	}
	return cfg
}

// Recovery is the state that Open read from the folder.
type Recovery struct {
	// Snapshot is the last snapshot, or nil if there is none.
	Snapshot []byte
	// Records are the records that were committed after the snapshot.
	Records [][]byte
	// TornBytes is the length of the torn tail that was truncated.
	TornBytes int64
	// Empty is true if there is neither a snapshot nor a record. This is so for a new folder and
	// for one that has lost its state.
	Empty bool
	// BackupPath is the path to which Reset renamed the corrupted file, or "" if there was none.
	BackupPath string
}

// CorruptionError reports a journal whose content differs from what was written to it.
type CorruptionError struct {
	Path string
	// Offset is the position of the corrupted record in bytes.
	Offset int64
	Reason string
}

// Error returns a text with the path, the offset and the reason.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("journal %s is corrupted at byte %d: %s", e.Path, e.Offset, e.Reason)
}

// FailedError reports that the journal accepts no records, because a write or sync has failed or
// because it is closed.
type FailedError struct {
	// Err is the first failure, or os.ErrClosed.
	Err error
}

// Error returns a text with the first failure.
func (e *FailedError) Error() string { return "journal accepts no records: " + e.Err.Error() }

// Unwrap returns the first failure.
func (e *FailedError) Unwrap() error { return e.Err }

// TooLargeError reports a record or snapshot above the size limit. Nothing was written, and the
// journal remains usable.
type TooLargeError struct {
	Size, Max int
}

// Error returns a text with the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("record of %d bytes exceeds the limit of %d bytes", e.Size, e.Max)
}

// request holds one record or one snapshot for the committing goroutine to store.
type request struct {
	data     []byte
	snapshot bool
	result   chan error // buffered, so that sending the result does not block
}

// Journal is an open journal. Open and Reset return one; Close releases it.
type Journal struct {
	cfg       Config
	requests  chan *request
	stop      chan struct{} // closed by Close
	finished  chan struct{} // closed when the committing goroutine ends
	closeOnce sync.Once

	// The committing goroutine owns the fields below until finished is closed.
	file     *os.File
	failed   *FailedError
	buffer   []byte
	batch    []*request
	closeErr error
}

var requestPool = sync.Pool{New: func() any {
	return &request{result: make(chan error, 1)}
}}

// Open recovers the journal in the folder and opens it for appending. It returns a
// *CorruptionError if the journal is corrupted other than by a torn tail; the file is then
// unchanged. It returns a *FailedError if a write or sync fails.
func Open(cfg Config) (*Journal, Recovery, error) {
	cfg = cfg.withDefaults()
	if err := createFolder(cfg); err != nil {
		return nil, Recovery{}, err
	}
	// A crash before the rename of a new file leaves the new file behind; the journal file is
	// still complete.
	if err := os.Remove(filepath.Join(cfg.Dir, newFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, Recovery{}, fmt.Errorf("remove incomplete journal file: %w", err)
	}
	file, recovery, err := recoverFile(cfg)
	if err != nil {
		return nil, Recovery{}, err
	}
	j := &Journal{
		cfg:      cfg,
		requests: make(chan *request, queueSize),
		stop:     make(chan struct{}),
		finished: make(chan struct{}),
		file:     file,
	}
	go j.run()
	return j, recovery, nil
}

// Reset renames the journal file of the folder to Recovery.BackupPath and opens an empty journal.
// Until the caller has restored its state and stored it by Snapshot, Open continues to report the
// folder as empty.
func Reset(cfg Config) (*Journal, Recovery, error) {
	backup, err := backUpFile(cfg.Dir)
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("rename corrupted journal file: %w", err)
	}
	j, recovery, err := Open(cfg)
	recovery.BackupPath = backup
	return j, recovery, err
}

// backUpFile renames the journal file to the first free backup name. It does not sync the folder;
// that happens when the new file is created.
func backUpFile(dir string) (string, error) {
	path := filepath.Join(dir, fileName)
	if _, err := os.Lstat(path); errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	for n := 1; ; n++ {
		backup := filepath.Join(dir, fmt.Sprintf("%s%d", backupPrefix, n))
		_, err := os.Lstat(backup)
		if errors.Is(err, fs.ErrNotExist) {
			return backup, os.Rename(path, backup)
		}
		if err != nil {
			return "", err
		}
	}
}

// createFolder creates the folder and its missing parents. It syncs each parent that got a new
// entry, so that the folder itself survives a crash.
func createFolder(cfg Config) error {
	dir := filepath.Clean(cfg.Dir)
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		parentCfg := cfg
		parentCfg.Dir = parent
		if err := createFolder(parentCfg); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, folderPerm); err != nil && !errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("create journal folder: %w", err)
	}
	if err := syncFolder(cfg, parent); err != nil {
		return &FailedError{Err: err}
	}
	return nil
}

// recoverFile reads the journal file, truncates a torn tail and opens the file for appending. It
// creates an empty journal if there is no file.
func recoverFile(cfg Config) (*os.File, Recovery, error) {
	path := filepath.Join(cfg.Dir, fileName)
	data, err := os.ReadFile(filepath.Clean(path))
	if errors.Is(err, fs.ErrNotExist) {
		file, err := createFile(cfg, nil, false)
		if err != nil {
			return nil, Recovery{}, &FailedError{Err: err}
		}
		return file, Recovery{Empty: true}, nil
	}
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("read journal file: %w", err)
	}
	recovery, end, err := scan(path, data)
	if err != nil {
		return nil, Recovery{}, err
	}
	file, err := os.OpenFile(filepath.Clean(path), os.O_WRONLY|os.O_APPEND, filePerm)
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("open journal file for appending: %w", err)
	}
	if recovery.TornBytes > 0 {
		err = file.Truncate(end)
	}
	// The recovered state may include records that a killed process wrote but did not sync; they
	// must be durable before the caller acts on them.
	if err == nil {
		err = cfg.Sync(file)
	}
	if err == nil {
		err = syncFolder(cfg, cfg.Dir)
	}
	if err != nil {
		_ = file.Close()
		return nil, Recovery{}, &FailedError{Err: err}
	}
	return file, recovery, nil
}

// createFile replaces the journal file by one that holds no records and, if hasSnapshot is set,
// the state as its snapshot. A crash leaves either the old file or the complete new one.
func createFile(cfg Config, state []byte, hasSnapshot bool) (*os.File, error) {
	return replaceFile(cfg, filepath.Join(cfg.Dir, newFileName), filepath.Join(cfg.Dir, fileName),
		fileHeader(state, hasSnapshot))
}

func writeAll(cfg Config, file *os.File, data []byte) error {
	n, err := cfg.Write(file, data)
	if err != nil {
		return err
	}
	if n != len(data) {
		return fmt.Errorf("write to %s: %d of %d bytes written", file.Name(), n, len(data))
	}
	return nil
}

// Append stores a copy of the record and returns once the copy is durable. Records of concurrent
// callers share one write and one sync. Errors are *TooLargeError, or *FailedError after a failed
// write or sync and after Close.
func (j *Journal) Append(record []byte) error {
	if len(record) > j.cfg.MaxRecord {
		return &TooLargeError{
			Size: len(record),
			Max:  j.cfg.MaxRecord,
		}
	}
	return j.submit(record, false)
}

// Snapshot replaces all earlier records by the state and returns once the state is durable. The
// state must include the effect of every record whose Append was called before. Errors are as for
// Append.
func (j *Journal) Snapshot(state []byte) error {
	if len(state) > maxSnapshot {
		return &TooLargeError{
			Size: len(state),
			Max:  maxSnapshot,
		}
	}
	return j.submit(state, true)
}

// submit passes a request to the committing goroutine and waits for its result.
func (j *Journal) submit(data []byte, snapshot bool) error {
	r := requestPool.Get().(*request)
	r.data, r.snapshot = data, snapshot
	select {
	case <-j.stop:
		return &FailedError{Err: os.ErrClosed}
	case j.requests <- r:
	}
	select {
	case err := <-r.result:
		r.data = nil
		requestPool.Put(r)
		return err
	case <-j.finished:
	}
	select {
	case err := <-r.result:
		return err
	default:
		// The goroutine ended before it received the request.
		return &FailedError{Err: os.ErrClosed}
	}
}

// Close commits the queued records and closes the file. It returns the error of closing the file,
// or a *FailedError if the journal had failed before.
func (j *Journal) Close() error {
	j.closeOnce.Do(func() { close(j.stop) })
	<-j.finished
	if j.failed != nil {
		return j.failed
	}
	return j.closeErr
}

func (j *Journal) run() {
	defer close(j.finished)
	for {
		select {
		case r := <-j.requests:
			j.commit(r)
		case <-j.stop:
			j.drain()
			j.closeErr = j.file.Close()
			return
		}
	}
}

// drain commits the requests that were queued before Close.
func (j *Journal) drain() {
	for {
		select {
		case r := <-j.requests:
			j.commit(r)
		default:
			return
		}
	}
}

// commit stores the request together with the requests queued behind it, up to the next snapshot.
func (j *Journal) commit(r *request) {
	j.batch, j.buffer = j.batch[:0], j.buffer[:0]
	for r != nil && !r.snapshot {
		j.batch = append(j.batch, r)
		j.buffer = appendRecord(j.buffer, r.data)
		r = nil
		if len(j.buffer) < maxBatchBytes {
			select {
			case r = <-j.requests:
			default:
			}
		}
	}
	if len(j.batch) > 0 {
		sendResult(j.batch, j.writeBatch())
	}
	if cap(j.buffer) > 2*maxBatchBytes {
		j.buffer = nil
	}
	if r != nil {
		r.result <- j.writeSnapshot(r.data)
	}
}

func sendResult(batch []*request, err error) {
	for i, r := range batch {
		r.result <- err
		batch[i] = nil
	}
}

// writeBatch writes and syncs the buffer. It returns nil or a *FailedError.
func (j *Journal) writeBatch() error {
	if j.failed != nil {
		return j.failed
	}
	err := writeAll(j.cfg, j.file, j.buffer)
	if err == nil {
		err = j.cfg.Sync(j.file)
	}
	if err != nil {
		j.failed = &FailedError{Err: err}
		return j.failed
	}
	return nil
}

// writeSnapshot replaces the file by one that holds only the snapshot. It returns nil or a
// *FailedError.
func (j *Journal) writeSnapshot(state []byte) error {
	if j.failed != nil {
		return j.failed
	}
	file, err := createFile(j.cfg, state, true)
	if err != nil {
		j.failed = &FailedError{Err: err}
		return j.failed
	}
	// All records of the old file were synced, and the file is already unlinked.
	_ = j.file.Close()
	j.file = file
	return nil
}
