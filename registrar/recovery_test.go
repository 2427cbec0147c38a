package registrar_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"sesamedrift.example/sesamedrift/registrar"
)

// Guards against versions, results or audit entries that a restart loses, and against records that
// accumulate because no snapshot replaces them.
func TestRestartKeepsState(t *testing.T) {
	for changes, names := range map[uint64][]string{
		1:   {"a", "b", "c"},
		300: {"a", "b", "c"},
		700: {"a", "b", "c"},
		// With a single replica this many changes take a fraction of the time.
		10_000: {"a"},
	} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			g := NewWithT(t)
			c := startCluster(t, names...)
			c.mustChange(t, "a", "env-production", 0, changes)
			before := c.replica("a").History("env-production", 0, int(changes))
			g.Expect(before).To(HaveLen(int(changes)))
			c.stop("a")
			g.Expect(len(c.disks["a"].records)).To(BeNumerically("<", 1000))
			startedAt := time.Now()
			g.Expect(c.start("a", false, false)).To(Succeed())
			t.Logf("restart after %d changes: %v", changes, time.Since(startedAt))
			g.Expect(c.replica("a").Ready()).To(BeTrue())
			g.Expect(c.replica("a").ReadLocal("env-production").Version).To(Equal(changes))
			g.Expect(c.replica("a").History("env-production", 0, int(changes))).To(Equal(before))
			res, err := c.replica("a").Change(t.Context(), testTime, change("env-production", "c0", 0))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(res.Winner).To(Equal(before[0]))
			c.mustChange(t, "a", "env-production", changes, 1)
		})
	}
}

// Guards against replies to steps whose records a full or failed disk did not store.
func TestFailedAppendEndsVoting(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, "a", "b", "c")
	c.mustChange(t, "a", "env-trial", 0, 1)
	c.disks["b"].fail()
	c.mustChange(t, "a", "env-trial", 1, 1)
	g.Expect(c.replica("c").Sync(t.Context(), testTime)).To(Succeed())

	reply := c.replica("b").Handle(testTime, registrar.Request{
		Kind:     registrar.KindPrepare,
		From:     "a",
		Register: "env-trial",
		Version:  c.replica("b").ReadLocal("env-trial").Version + 1,
		Ballot: registrar.Ballot{
			Round:   99,
			Replica: "a",
		},
	})
	g.Expect(reply.Status).To(Equal(registrar.ReplyUnavailable))
	var storageError *registrar.StorageError
	g.Expect(errors.As(c.replica("b").Err(), &storageError)).To(BeTrue())
	g.Expect(storageError.Err).To(Equal(errDisk))
	res, err := c.replica("b").Change(t.Context(), testTime, change("env-trial", "x", 2))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Status).To(Equal(registrar.Unavailable))
	_, err = c.replica("b").Read(t.Context(), testTime, "env-trial")
	g.Expect(err).To(HaveOccurred())
	c.disks["c"].fail()
	res, err = c.replica("a").Change(t.Context(), testTime, change("env-trial", "y", 2))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Status).To(Equal(registrar.Unavailable), "one voting replica of three is not a majority")
}

// Guards against a replica that votes although a part of its state is corrupt.
func TestCorruptStateIsRepaired(t *testing.T) {
	for name, corrupt := range map[string]func(d *disk){
		"snapshot": func(d *disk) { d.snapshot = d.snapshot[:len(d.snapshot)/2] },
		"record":   func(d *disk) { d.records[0] = []byte{0xc1} },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := startCluster(t, "a", "b", "c")
			c.mustChange(t, "a", "env-trial", 0, 3)
			c.stop("a")
			corrupt(c.disks["a"])
			var corruption *registrar.CorruptionError
			g.Expect(errors.As(c.start("a", false, false), &corruption)).To(BeTrue())
			g.Expect(c.start("a", true, false)).To(Succeed())
			g.Expect(c.replica("a").Ready()).To(BeFalse())
			g.Expect(c.replica("a").ReadLocal("env-trial").Version).To(BeZero())
			g.Expect(c.replica("a").Repair(t.Context(), testTime)).To(Succeed())
			g.Expect(c.replica("a").ReadLocal("env-trial").Version).To(Equal(uint64(3)))
			g.Expect(c.replica("a").History("env-trial", 0, 10)).To(HaveLen(3))
			g.Expect(c.restart("a")).To(Succeed())
			g.Expect(c.replica("a").Ready()).To(BeTrue())
		})
	}
}

// Guards against a replica that votes with a snapshot of which one value is damaged.
func TestDamagedValueIsFound(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, "a", "b", "c")
	c.mustChange(t, "b", "env-trial", 0, 3)
	c.stop("a")
	g.Expect(c.start("a", true, false)).To(Succeed())
	g.Expect(c.replica("a").Repair(t.Context(), testTime)).To(Succeed())
	c.stop("a")
	d, value := c.disks["a"], change("env-trial", "c2", 2).Value
	g.Expect(bytes.Contains(d.snapshot, value)).To(BeTrue())
	d.snapshot = bytes.ReplaceAll(d.snapshot, value, []byte("other value"))
	var corruption *registrar.CorruptionError
	g.Expect(errors.As(c.start("a", false, false), &corruption)).To(BeTrue())
}

// Guards against a replica that votes although its data folder has no snapshot.
func TestReplicaWithoutSnapshotIsEmpty(t *testing.T) {
	g := NewWithT(t)
	c := newCluster("a", "b", "c")
	g.Expect(c.start("a", false, false)).To(Succeed())
	g.Expect(c.replica("a").Ready()).To(BeFalse())
}

// Guards against a new set that starts while a replica may hold data, and against a replica that
// has lost its state, is bootstrapped by mistake and then votes without its state.
func TestBootstrap(t *testing.T) {
	g := NewWithT(t)
	c := newCluster("a", "b", "c")
	t.Cleanup(c.close)
	var repairError *registrar.RepairError
	g.Expect(c.start("a", true, true)).To(Succeed())
	g.Expect(c.start("b", true, true)).To(Succeed())
	g.Expect(errors.As(c.replica("a").Repair(t.Context(), testTime), &repairError)).To(BeTrue(), "c has not answered")
	g.Expect(c.start("c", true, false)).To(Succeed())
	g.Expect(errors.As(c.replica("a").Repair(t.Context(), testTime), &repairError)).To(BeTrue(), "c may have been lost")
	c.stop("c")
	g.Expect(c.start("c", true, true)).To(Succeed())
	for _, name := range c.names {
		g.Expect(c.replica(name).Repair(t.Context(), testTime)).To(Succeed())
	}

	c.setDropRule(func(_, to string, _ registrar.Request, _ bool) bool { return to == "c" })
	c.mustChange(t, "a", "env-trial", 0, 1)
	c.setDropRule(nil)
	c.stop("a")
	c.disks["a"] = &disk{}
	g.Expect(c.start("a", true, true)).To(Succeed())
	g.Expect(c.replica("a").Repair(t.Context(), testTime)).To(Succeed())
	g.Expect(c.replica("a").ReadLocal("env-trial").Version + c.replica("b").ReadLocal("env-trial").Version).To(BeNumerically(">", 0))
	e, err := c.replica("c").Read(t.Context(), testTime, "env-trial")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Version).To(Equal(uint64(1)))
}

// Guards against a set of one replica that cannot restart, and against its repair after a disk
// loss, when no other replica has its state.
func TestSingleReplica(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, "a")
	c.mustChange(t, "a", "env-trial", 0, 3)
	g.Expect(c.restart("a")).To(Succeed())
	c.mustChange(t, "a", "env-trial", 3, 1)
	g.Expect(c.wipe("a")).To(Succeed())
	g.Expect(c.replica("a").Repair(t.Context(), testTime)).NotTo(Succeed())
}

// Guards against a Change that does not end when its context does.
func TestChangeEndsWithContext(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, "a", "b", "c")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	res, err := c.replica("a").Change(ctx, testTime, change("env-trial", "x", 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Status).To(Equal(registrar.Unavailable))
}

// Guards against an unresponsive replica that delays the others, and against goroutines that
// outlive Close.
func TestUnresponsiveReplicaDelaysNothing(t *testing.T) {
	g := NewWithT(t)
	before := goleak.IgnoreCurrent()
	c := startCluster(t, "a", "b", "c")
	release := make(chan struct{})
	c.setDropRule(func(_, to string, _ registrar.Request, _ bool) bool {
		if to == "c" {
			<-release
		}
		return to == "c"
	})
	c.mustChange(t, "a", "env-trial", 0, 5)
	e, err := c.replica("b").Read(t.Context(), testTime, "env-trial")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Version).To(Equal(uint64(5)))
	close(release)
	replica := c.replica("a")
	c.close()
	g.Expect(goleak.Find(before)).To(Succeed())
	res, err := replica.Change(t.Context(), testTime, change("env-trial", "x", 5))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Status).To(Equal(registrar.Unavailable))
}
