package claimer

import (
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sesamedrift.example/sesamedrift/leaser"
)

// Guards against claims that a majority held and that a host lacks after a sync: hosts
// that know different claims, in chunks of any size, while a member restarts.
func TestSyncKeepsWhatAMajorityHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		c := newCluster(3)
		holders := map[string]int{}
		phases := map[string]Phase{}
		for i := range rapid.IntRange(1, 40).Draw(t, "keys") {
			key := fmt.Sprint("order-", i)
			created := start.Add(-time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond)
			phases[key] = rapid.SampledFrom([]Phase{Queued, Started, Done}).Draw(t, "phase")
			on := rapid.IntRange(1, 7).Draw(t, "on")
			for j := range 3 {
				if on>>j&1 == 0 {
					continue
				}
				holders[key]++
				g.Expect(c.node(j).t.Handle(start, c.node(j).view, Request{
					Type:    TypeRecord,
					View:    1,
					Key:     key,
					Created: created,
					Claim:   Claim{Key: key, Created: created, Coordinator: member(0), Phase: phases[key]},
				}).Status).To(Equal(Accepted))
			}
		}
		for j := range 3 {
			c.node(j).t.ChunkBytes = rapid.IntRange(1, 5).Draw(t, "chunk") * recordBytes
		}
		var calls atomic.Int64
		restart := rapid.Int64Range(0, 40).Draw(t, "restart")
		c.drop = func(to string, r Request, _ bool) bool {
			if calls.Add(1) == restart && r.Type == TypeFetch {
				c.boot(leaser.Member{Host: to, Incarnation: 2}).t.fence(2)
			}
			return false
		}
		nodes := maps.Clone(c.hosts)
		for host, result := range c.install(2, allMembers(3), allMembers(3)...) {
			if result != "true false" || nodes[host].t.Synced() < 2 {
				continue // it has restarted, or has raised its horizon
			}
			for key, n := range holders {
				if n >= 2 {
					rec := nodes[host].t.get(key)
					g.Expect(rec.Claims).To(HaveLen(1), host+" lacks "+key)
					g.Expect(rec.Claims[0].Phase).To(Equal(phases[key]))
				}
			}
		}
	})
}

// Guards against differences that the comparison of two tables does not see.
func TestDigestCoversWhatAMergeCompares(t *testing.T) {
	g := NewWithT(t)
	digests := map[Digest]string{}
	for name, change := range map[string]func(r *Record){
		"nothing":     func(*Record) {},
		"promise":     func(r *Record) { r.Promised = 1 },
		"ballot":      func(r *Record) { r.Claims[0].Ballot = 1 },
		"phase":       func(r *Record) { r.Claims[0].Phase = Done },
		"answer":      func(r *Record) { r.Claims[0].AnswerDropped = true },
		"host":        func(r *Record) { r.Claims[0].Coordinator.Host = "riga-a-1" },
		"incarnation": func(r *Record) { r.Claims[0].Coordinator.Incarnation = 2 },
		"claims":      func(r *Record) { r.Claims = append(r.Claims, Claim{Coordinator: member(1)}) },
		"key":         func(r *Record) { r.Key = "other" },
	} {
		r := Record{Key: theKey, Created: start, Claims: []Claim{{Coordinator: member(0), Phase: Started}}}
		change(&r)
		table := NewTable(testRetention)
		table.Merge([]Record{r})
		b := table.bucket(start.Unix())
		g.Expect(b.Records).To(Equal(1))
		g.Expect(digests).NotTo(HaveKey(b.Digest), name)
		digests[b.Digest] = name
	}
}
