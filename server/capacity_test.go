package server

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/claimer"
	"sesamedrift.example/sesamedrift/leaser"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/validator"
)

// BenchmarkMessage measures the encoded size of messages between hosts, and the time to encode and
// decode them.
func BenchmarkMessage(b *testing.B) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	self := leaser.Member{
		Host:        "ikeja-1",
		Incarnation: 1,
		Address:     "10.0.0.1:7001",
		HTTP:        "10.0.0.1:8080",
	}
	slots := slotReport{
		Seq:      100_000,
		Received: 100,
		Services: map[string]serviceReport{"production/reseason-desk": {Free: 8, Slots: 8}},
	}
	versions := map[string]uint64{"env-production": 1, "view-ikeja": 2}
	claim := claimer.Claim{
		Key:         "ikeja.0198f7a2-7c3e-7d10-9a55-000000000001@20261204T090000.000",
		Created:     now,
		PayloadHash: fmt.Sprintf("%064x", 1),
		Coordinator: self,
		Phase:       claimer.Started,
		UpdatedAt:   now,
	}
	done := claim
	done.Phase = claimer.Done
	done.Outcome = sesamedrift.Outcome{
		Key:     "ikeja.0198f7a2-7c3e-7d10-9a55-000000000001",
		Digest:  claim.PayloadHash,
		Status:  sesamedrift.Complete,
		Task:    sesamedrift.NoTask,
		Answers: [][]byte{make([]byte, 100)},
	}
	b.Run("heartbeat", func(b *testing.B) {
		benchmarkEncoding(b, heartbeatRequest{
			Heartbeat: leaser.Heartbeat{From: self, View: 2, SentAt: now, DirectorySeq: 1000, ConfigVersions: versions},
			Slots:     slots,
		})
	})
	b.Run("heartbeat-reply", func(b *testing.B) {
		benchmarkEncoding(b, heartbeatReply{
			Ack:   leaser.Ack{From: self, ToIncarnation: 1, View: 2, HeartbeatView: 2, SentAt: now, DirectorySeq: 1000, ConfigVersions: versions},
			Slots: slots,
		})
	})
	b.Run("exchange", func(b *testing.B) {
		benchmarkEncoding(b, exchange{Host: "ikeja-1", Slots: slots, Versions: versions})
	})
	for phase, c := range map[string]claimer.Claim{"started": claim, "done": done} {
		b.Run("claim-"+phase, func(b *testing.B) {
			benchmarkEncoding(b, claimRequest{
				Request: claimer.Request{Type: claimer.TypeClaim, View: 2, Key: c.Key, Created: now, Claim: c},
				From:    "ikeja-1",
			})
		})
		b.Run("claim-reply-"+phase, func(b *testing.B) {
			table := claimer.NewTable(time.Hour)
			reply := table.Handle(now, leaser.View{}, claimer.Request{Type: claimer.TypeRecordOutcome, Key: c.Key, Created: now, Claim: c})
			if reply.Status != claimer.Accepted {
				b.Fatal(reply.Status)
			}
			benchmarkEncoding(b, claimReply{Reply: reply, Slots: slots})
		})
	}
	b.Run("directory-change", func(b *testing.B) {
		benchmarkEncoding(b, directoryChange{
			Announcement: leaser.Announcement{
				Upstream:    "ikeja-worker-100",
				Address:     "10.0.1.100:9000",
				Service:     "production/reseason-desk",
				Incarnation: 1,
				Slots:       8,
				Connections: 64,
				State:       leaser.Serving,
				TTL:         3 * time.Second,
				ReceivedAt:  now,
			},
			Age: time.Second,
		})
	})
}

func benchmarkEncoding[T any](b *testing.B, v T) {
	b.Helper()
	var n int
	b.ReportAllocs()
	for b.Loop() {
		body, err := messenger.Encode(v)
		if err != nil {
			b.Fatal(err)
		}
		n = len(body)
		var decoded T
		if err := messenger.Decode(body, &decoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(n), "B/message")
}

// BenchmarkUpstreams measures the periodic work of a host for its list of upstreams: the comparison
// with the queue, ten times a second, and one tick of the dispatcher, a hundred times a second.
func BenchmarkUpstreams(b *testing.B) {
	for _, n := range []int{10, 100, 184, 920} {
		h := newIsolatedHost(b, n)
		b.Run(fmt.Sprintf("sync/upstreams=%d", n), func(b *testing.B) {
			for b.Loop() {
				h.syncUpstreams(h.now())
			}
		})
		b.Run(fmt.Sprintf("tick/upstreams=%d", n), func(b *testing.B) {
			for b.Loop() {
				h.dispatcher.tick(h.now())
				h.dispatcher.place(h.now())
				h.publishState(h.now())
			}
		})
	}
}

// newIsolatedHost returns a host that owns all upstreams and has no goroutines and no connections.
func newIsolatedHost(b testing.TB, upstreams int) *Host {
	b.Helper()
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	cfg := Config{
		Settings: validator.Settings{
			Host:           "ikeja-1",
			Domain:         "ikeja",
			LeaseTime:      validator.Duration(600 * time.Millisecond),
			HeartbeatEvery: validator.Duration(100 * time.Millisecond),
			SuspectAfter:   validator.Duration(500 * time.Millisecond),
			DriftMargin:    validator.Duration(100 * time.Millisecond),
		},
		Incarnation: 1,
		Now:         func() time.Time { return now },
		Seed:        1,
	}
	h := &Host{
		cfg:       cfg,
		log:       slog.New(slog.DiscardHandler),
		now:       cfg.Now,
		self:      leaser.Member{Host: "ikeja-1", Incarnation: 1},
		directory: directory{list: leaser.NewDirectory(), sources: map[string]announcementSource{}},
		metrics:   newMetrics(),
		entries:   &registrar.Cache{},
	}
	h.evacuations.markKnown(0)
	b.Cleanup(h.metrics.Close)
	h.members = newMembership(cfg, h.self)
	h.members.leaser.Install(now, leaser.View{Domain: "ikeja", Number: 1, Members: []leaser.Member{h.self}})
	h.dispatcher = newDispatcher(cfg, h)
	now = now.Add(time.Minute)
	h.members.leaser.Heartbeat(now)
	for i := range upstreams {
		a := leaser.Announcement{
			Upstream:    fmt.Sprint("worker-", i),
			Service:     "production/work",
			Slots:       8,
			Connections: 64,
			State:       leaser.Serving,
			TTL:         time.Hour,
		}
		if _, err := h.directory.list.HandleAnnouncement(now, a); err != nil {
			b.Fatal(err)
		}
		a.ReceivedAt = now
		h.dispatcher.addUpstream(now, a, nil)
	}
	h.syncUpstreams(now)
	if len(h.dispatcher.upstreams) != upstreams {
		b.Fatalf("%d of %d upstreams are owned", len(h.dispatcher.upstreams), upstreams)
	}
	b.Cleanup(func() {
		for _, u := range h.dispatcher.upstreams {
			u.cancel(context.Canceled)
		}
	})
	return h
}
