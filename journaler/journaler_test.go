package journaler

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

var errDisk = errors.New("simulated disk failure")

// writeRecords writes the records r0, r1, ... and returns the content of the file and the offset
// at which each record begins.
func writeRecords(t *testing.T, dir string, n int) (data []byte, offsets []int) {
	t.Helper()
	g := NewWithT(t)
	j, _ := open(t, Config{Dir: dir})
	path := filepath.Join(dir, fileName)
	for i := range n {
		info, err := os.Stat(path)
		g.Expect(err).NotTo(HaveOccurred())
		offsets = append(offsets, int(info.Size()))
		g.Expect(j.Append(fmt.Appendf(nil, "r%d\x00", i))).To(Succeed())
	}
	g.Expect(j.Close()).To(Succeed())
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	return data, offsets
}

// open opens a journal and fails the test if that fails.
func open(t testing.TB, cfg Config, description ...any) (*Journal, Recovery) {
	t.Helper()
	j, r, err := Open(cfg)
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), description...)
	return j, r
}

func asStrings(records [][]byte) []string {
	all := make([]string, 0, len(records))
	for _, r := range records {
		all = append(all, string(r))
	}
	return all
}

// TestRecoversSnapshotAndRecords checks that a reopened journal returns the last snapshot and, in
// order, exactly the records that were appended after it.
func TestRecoversSnapshotAndRecords(t *testing.T) {
	g := NewWithT(t)
	dir := filepath.Join(t.TempDir(), "a", "b")
	j, r := open(t, Config{Dir: dir})
	g.Expect(r).To(Equal(Recovery{Empty: true}))
	g.Expect(j.Append([]byte("old"))).To(Succeed())
	g.Expect(j.Snapshot([]byte("state"))).To(Succeed())
	g.Expect(j.Append([]byte("one"))).To(Succeed())
	g.Expect(j.Append(nil)).To(Succeed())
	g.Expect(j.Close()).To(Succeed())
	var failed *FailedError
	g.Expect(errors.As(j.Append([]byte("late")), &failed)).To(BeTrue())
	g.Expect(failed).To(MatchError(os.ErrClosed))

	j, r = open(t, Config{Dir: dir})
	g.Expect(string(r.Snapshot)).To(Equal("state"))
	g.Expect(asStrings(r.Records)).To(Equal([]string{"one", ""}))
	g.Expect(r.Empty).To(BeFalse())
	g.Expect(j.Snapshot(nil)).To(Succeed())
	g.Expect(j.Close()).To(Succeed())
	j, r = open(t, Config{Dir: dir})
	g.Expect(r).To(Equal(Recovery{Snapshot: []byte{}}))
	g.Expect(j.Close()).To(Succeed())
}

// TestTornTailAtEveryOffset checks that a torn tail is truncated, whether the file ends early or
// in zeros, and that records are appended after the truncation. A torn tail must not be reported
// as corruption or recovered as a record.
func TestTornTailAtEveryOffset(t *testing.T) {
	data, offsets := writeRecords(t, t.TempDir(), 3)
	last := offsets[2]
	for cut := last; cut < len(data); cut++ {
		for _, zeros := range []int{0, len(data) - cut, 4096} {
			g := NewWithT(t)
			dir := t.TempDir()
			torn := append(append([]byte(nil), data[:cut]...), make([]byte, zeros)...)
			g.Expect(os.WriteFile(filepath.Join(dir, fileName), torn, filePerm)).To(Succeed())
			j, r := open(t, Config{Dir: dir}, "cut at %d, %d zeros", cut, zeros)
			g.Expect(asStrings(r.Records)).To(Equal([]string{"r0\x00", "r1\x00"}))
			g.Expect(r.TornBytes).To(Equal(int64(len(torn) - last)))
			g.Expect(j.Append([]byte("next"))).To(Succeed())
			g.Expect(j.Close()).To(Succeed())
			j, r = open(t, Config{Dir: dir})
			g.Expect(asStrings(r.Records)).To(Equal([]string{"r0\x00", "r1\x00", "next"}))
			g.Expect(r.TornBytes).To(BeZero())
			g.Expect(j.Close()).To(Succeed())
		}
	}
}

// TestCorruptionAtEveryOffset checks that a changed byte anywhere in the file, including a length
// and the last record, is reported, and that the file is left unchanged. Otherwise an
// acknowledged record would be lost or changed.
func TestCorruptionAtEveryOffset(t *testing.T) {
	data, _ := writeRecords(t, t.TempDir(), 3)
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	for offset := range data {
		g := NewWithT(t)
		corrupted := append([]byte(nil), data...)
		corrupted[offset] ^= 0x40
		g.Expect(os.WriteFile(path, corrupted, filePerm)).To(Succeed())
		_, _, err := Open(Config{Dir: dir})
		var corruption *CorruptionError
		g.Expect(errors.As(err, &corruption)).To(BeTrue(), "byte %d: %v", offset, err)
		g.Expect(corruption.Offset).To(BeNumerically("<=", offset))
		remaining, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(remaining).To(Equal(corrupted))
	}
}

// TestResetKeepsCorruptFile checks that Reset keeps the corrupted file under a new name, and that
// the folder still counts as empty when it is opened again before a snapshot: a replica must not
// vote if it crashes during its repair.
func TestResetKeepsCorruptFile(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	for n := 1; n <= 2; n++ {
		corrupted := fmt.Appendf(nil, "corrupted %d", n)
		g.Expect(os.WriteFile(filepath.Join(dir, fileName), corrupted, filePerm)).To(Succeed())
		j, r, err := Reset(Config{Dir: dir})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Empty).To(BeTrue())
		g.Expect(r.BackupPath).To(Equal(filepath.Join(dir, fmt.Sprintf("%s%d", backupPrefix, n))))
		backup, err := os.ReadFile(r.BackupPath)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(backup).To(Equal(corrupted))
		g.Expect(j.Close()).To(Succeed())
		j, r = open(t, Config{Dir: dir})
		g.Expect(r.Empty).To(BeTrue())
		g.Expect(j.Close()).To(Succeed())
	}
}

// TestFailuresArePermanent checks that after a failed write or sync no further record is
// acknowledged, because the state of the file is unknown, even if later writes would succeed.
func TestFailuresArePermanent(t *testing.T) {
	var failing atomic.Bool
	failSync := func(f *os.File) error {
		if failing.Load() {
			return errDisk
		}
		return f.Sync()
	}
	diskFull := func(f *os.File, b []byte) (int, error) {
		if !failing.Load() {
			return f.Write(b)
		}
		n, _ := f.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	shortWrite := func(f *os.File, b []byte) (int, error) {
		if !failing.Load() {
			return f.Write(b)
		}
		return f.Write(b[:len(b)-1])
	}
	for name, cfg := range map[string]Config{
		"sync fails":  {Sync: failSync},
		"disk full":   {Write: diskFull},
		"short write": {Write: shortWrite},
	} {
		for _, store := range []func(*Journal, []byte) error{(*Journal).Append, (*Journal).Snapshot} {
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				cfg.Dir = t.TempDir()
				j, _ := open(t, cfg)
				g.Expect(j.Append([]byte("first"))).To(Succeed())
				failing.Store(true)
				var failed *FailedError
				g.Expect(errors.As(store(j, []byte("second")), &failed)).To(BeTrue())
				failing.Store(false)
				g.Expect(errors.As(j.Append([]byte("third")), &failed)).To(BeTrue())
				g.Expect(errors.As(j.Snapshot([]byte("state")), &failed)).To(BeTrue())
				g.Expect(errors.As(j.Close(), &failed)).To(BeTrue())
				j, r := open(t, cfg)
				g.Expect(asStrings(r.Records)[0]).To(Equal("first"))
				g.Expect(asStrings(r.Records)).NotTo(ContainElement("third"))
				g.Expect(j.Close()).To(Succeed())
			})
		}
	}
}

// TestFolderSyncFails checks that a snapshot is not acknowledged if the sync of the folder fails,
// because a crash may then restore the replaced file, and that no record is acknowledged
// afterwards.
func TestFolderSyncFails(t *testing.T) {
	g := NewWithT(t)
	var failing atomic.Bool
	dir := t.TempDir()
	j, _ := open(t, Config{
		Dir: dir,
		Sync: func(f *os.File) error {
			if failing.Load() && f.Name() == dir {
				return errDisk
			}
			return f.Sync()
		},
	})
	failing.Store(true)
	g.Expect(j.Snapshot([]byte("state"))).To(MatchError(errDisk))
	failing.Store(false)
	g.Expect(j.Append([]byte("record"))).To(MatchError(errDisk))
	g.Expect(j.Close()).To(MatchError(errDisk))
}

// TestCrashWhileSnapshotIsWritten checks that a crash after any part of a snapshot file was
// written, but before the rename, leaves the old records and no snapshot.
func TestCrashWhileSnapshotIsWritten(t *testing.T) {
	data, _ := writeRecords(t, t.TempDir(), 2)
	snapshot := fileHeader([]byte("state"), true)
	for cut := range len(snapshot) + 1 {
		g := NewWithT(t)
		dir := t.TempDir()
		g.Expect(os.WriteFile(filepath.Join(dir, fileName), data, filePerm)).To(Succeed())
		g.Expect(os.WriteFile(filepath.Join(dir, newFileName), snapshot[:cut], filePerm)).To(Succeed())
		j, r := open(t, Config{Dir: dir})
		g.Expect(r.Snapshot).To(BeNil())
		g.Expect(asStrings(r.Records)).To(Equal([]string{"r0\x00", "r1\x00"}))
		g.Expect(j.Close()).To(Succeed())
		g.Expect(filepath.Join(dir, newFileName)).NotTo(BeAnExistingFile())
	}
}

// TestConcurrentCallers checks that exactly the acknowledged records of concurrent callers are
// recovered when the journal is closed meanwhile, and that a record above the size limit does not
// fail the journal.
func TestConcurrentCallers(t *testing.T) {
	g := NewWithT(t)
	cfg := Config{
		Dir:       t.TempDir(),
		MaxRecord: 64,
	}
	j, _ := open(t, cfg)
	var large *TooLargeError
	g.Expect(errors.As(j.Append(make([]byte, 65)), &large)).To(BeTrue())
	const callers, perCaller = 16, 20
	stored := make([]int, callers)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := range perCaller {
				if j.Append(fmt.Appendf(nil, "%d", c)) != nil {
					return
				}
				stored[c] = i + 1
				if c == 0 && i == perCaller/2 {
					_ = j.Close()
				}
			}
		})
	}
	wg.Wait()
	j, r := open(t, cfg)
	found := make([]int, callers)
	for _, record := range r.Records {
		var c int
		_, err := fmt.Sscan(string(record), &c)
		g.Expect(err).NotTo(HaveOccurred())
		found[c]++
	}
	g.Expect(found).To(Equal(stored))
	g.Expect(j.Close()).To(Succeed())
}

// BenchmarkAppend measures appends of 256 bytes by 1, 8 and 64 concurrent callers, and the number
// of syncs per append.
func BenchmarkAppend(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) {
			var syncs atomic.Int64
			j, _ := open(b, Config{
				Dir: b.TempDir(),
				Sync: func(f *os.File) error {
					syncs.Add(1)
					return f.Sync()
				},
			})
			record := make([]byte, 256)
			var next atomic.Int64
			b.ReportAllocs()
			b.ResetTimer()
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for next.Add(1) <= int64(b.N) {
						if err := j.Append(record); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64(syncs.Load())/float64(b.N), "syncs/op")
			if err := j.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// BenchmarkOpen measures the recovery of 10,000 records of 1 KiB.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	j, _ := open(b, Config{
		Dir:  dir,
		Sync: func(*os.File) error { return nil },
	})
	for range 10_000 {
		if err := j.Append(make([]byte, 1024)); err != nil {
			b.Fatal(err)
		}
	}
	if err := j.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		j, _, err := Open(Config{Dir: dir})
		if err != nil {
			b.Fatal(err)
		}
		_ = j.Close()
	}
}

// Guards against a file of WriteFile that is read although it differs from what was written, or that a failed write
// replaces.
func TestWriteFile(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "state")
	_, err := ReadFile(path)
	g.Expect(err).To(MatchError(fs.ErrNotExist))
	for _, content := range []string{"first", ""} {
		g.Expect(WriteFile(path, []byte(content))).To(Succeed())
		g.Expect(ReadFile(path)).To(BeEquivalentTo(content))
	}
	_, err = replaceFile(Config{Sync: func(*os.File) error { return errDisk }}.withDefaults(), path+".new", path, nil)
	g.Expect(err).To(HaveOccurred())
	g.Expect(ReadFile(path)).To(BeEmpty())
	written, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	for _, damaged := range [][]byte{nil, written[:len(written)-1], append(bytes.Clone(written), 0), appendRecord(bytes.Clone(written), nil), fileHeader(nil, false)} {
		g.Expect(os.WriteFile(path, damaged, filePerm)).To(Succeed())
		_, err = ReadFile(path)
		var corruption *CorruptionError
		g.Expect(errors.As(err, &corruption)).To(BeTrue(), "%q", damaged)
	}
}
