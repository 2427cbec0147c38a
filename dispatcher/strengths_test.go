package dispatcher

import (
	"testing"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/discoverer"
)

// Guards against weak placers beside strong hosts, against placers that change without need, and against a change of
// the roles where hosts are about equal.
func TestPlacersOfUnequalHosts(t *testing.T) {
	for name, test := range map[string]struct {
		current   []string
		strengths []int64
		count     int
		want      []string
	}{
		"about equal":                 {nil, []int64{400, 500, 450, 500}, 1, []string{"a"}},
		"not known":                   {nil, []int64{0, 0, 0, 0}, 2, []string{"b", "c"}},
		"weak leader":                 {nil, []int64{144, 144, 480, 480}, 1, []string{"c"}},
		"strong leader":               {nil, []int64{480, 144, 144, 144}, 1, []string{"a"}},
		"leader last":                 {nil, []int64{480, 144, 480, 480}, 2, []string{"c", "d"}},
		"fewer strong than placers":   {nil, []int64{144, 480, 144, 144}, 2, []string{"b", "c"}},
		"strong placers stay":         {[]string{"d", "c"}, []int64{144, 480, 480, 480}, 2, []string{"d", "c"}},
		"weak placer is replaced":     {[]string{"d", "a"}, []int64{144, 480, 480, 480}, 2, []string{"d", "b"}},
		"less than twice as strong":   {[]string{"b"}, []int64{144, 250, 480, 144}, 1, []string{"b"}},
		"lost placer":                 {[]string{"x", "d"}, []int64{144, 144, 480, 480}, 2, []string{"c", "d"}},
		"vacancy before replacement":  {[]string{"a", "x", "b", "y"}, []int64{144, 144, 144, 480}, 4, []string{"a", "d", "b", "c"}},
		"first candidate too weak":    {[]string{"a"}, []int64{144, 250, 480, 144}, 1, []string{"c"}},
		"weakest placer first":        {[]string{"b", "a"}, []int64{100, 250, 520, 150}, 2, []string{"b", "c"}},
		"unknown strength is average": {nil, []int64{0, 144, 480, 480}, 1, []string{"c"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			members := []string{"a", "b", "c", "d"}
			strength := newStrengths(members, func(m string) discoverer.Host { return discoverer.Host{Strength: test.strengths[m[0]-'a']} })
			g.Expect(choosePlacers(test.current, members, test.count, strength)).To(Equal(test.want))
		})
	}
}

// Guards against weak leaseholders with as many upstreams as strong ones, against reassignments without need, and
// against assignments that differ from those of hosts without known strengths although all are equal.
func TestUpstreamsOfUnequalHosts(t *testing.T) {
	g := NewWithT(t)
	upstreams, members := shardUpstreams(108), shardMembers(14)
	equal, unequal := strengths{}, strengths{}
	for i, m := range members {
		equal[m] = 480
		unequal[m] = []int64{144, 480}[i%2]
	}
	plain := planAssignment(assignment{}, upstreams, members, nil, true, upstreamsPerShard)
	same := planAssignment(assignment{}, upstreams, members, equal, true, upstreamsPerShard)
	g.Expect(same.equal(&plain)).To(BeTrue())
	fewer := planAssignment(plain, upstreams, members[2:], nil, true, upstreamsPerShard)
	sameFewer := planAssignment(same, upstreams, members[2:], equal, true, upstreamsPerShard)
	g.Expect(sameFewer.equal(&fewer)).To(BeTrue())

	a := planAssignment(assignment{}, upstreams, members, unequal, true, upstreamsPerShard)
	loads := countByHolder(a.Leaseholders)
	for _, m := range members {
		switch {
		case m == a.Placers[0] || m == a.Placers[1] || m == a.Placers[2]:
			g.Expect(unequal[m]).To(Equal(int64(480)))
			g.Expect(loads[m]).To(BeZero())
		case unequal[m] == 144:
			g.Expect(loads[m]).To(BeNumerically("<=", 6))
		default:
			g.Expect(loads[m]).To(BeNumerically(">=", 12))
		}
	}
	again := planAssignment(a, upstreams, members, unequal, true, upstreamsPerShard)
	g.Expect(again.equal(&a)).To(BeTrue())
	without := planAssignment(a, upstreams, members[1:], unequal, true, upstreamsPerShard)
	g.Expect(without.Placers).To(Equal(a.Placers))
	g.Expect(changes(a, without)).To(Equal(loads[members[0]]), "only the upstreams of the lost host are reassigned")
}
