package dispatcher

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"sesamedrift.example/sesamedrift/discoverer"
)

// The upstreams of a large domain are divided into shards, each with its own placer, since the
// processor time of one host does not suffice to place all jobs of the domain at peak load. The leader
// of the domain, its oldest member, decides on the shards, their placers and the leaseholders. It does
// not take part in placing unless it is a placer itself.
//
// The home shard of a job follows from the identifier of the job, so that a caller who sends the job
// again, to any host of the domain, reaches the placer that knows of the first try. A placer without
// free capacity redirects the job to the placer of another shard and remembers that.

const (
	// upstreamsPerShard is the wanted size of a shard. Several hundred jobs a second on that many
	// upstreams take a placer about half of its processor time, and smaller shards lose value since
	// the capacity for large jobs is fragmented.
	upstreamsPerShard = 36
	// minShardSize is the ratio of the size of shards to the wanted one below which there become fewer
	// of them. It is well below 1, so that their number does not change with each upstream.
	minShardSize = 0.6
	// maxShardShare bounds the upstreams of a shard in relation to an even share.
	maxShardShare = 1.5
	// hostsPerShard is the least number of members for each shard.
	hostsPerShard = 3
)

// shardOf returns the index of the shard whose placer has the address, or -1.
func (a *assignment) shardOf(address string) int { return slices.Index(a.Placers, address) }

// placerOf returns the address of the placer of an upstream, or "" if there is none.
func (a *assignment) placerOf(upstream string) string {
	if shard := a.Shards[upstream]; shard < len(a.Placers) {
		return a.Placers[shard]
	}
	return ""
}

// homeShard returns the index of the home shard of a job.
func (a *assignment) homeShard(job string) int {
	if len(a.Placers) <= 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % uint32(len(a.Placers)))
}

// placerAt returns the address of the placer of a shard, or "" if there is no such shard.
func (a *assignment) placerAt(shard int) string {
	if shard < 0 || shard >= len(a.Placers) {
		return ""
	}
	return a.Placers[shard]
}

func (a *assignment) equal(o *assignment) bool {
	return slices.Equal(a.Placers, o.Placers) && maps.Equal(a.Leaseholders, o.Leaseholders) && maps.Equal(a.Shards, o.Shards)
}

// planAssignment returns the assignment that follows the current one, from which it differs as little
// as possible. The members are in the order of their starts; the first one is the leader. If not all
// hosts of the domain can handle shards, there is one, whose placer is the leader. Members of unequal strengths get roles
// and upstreams accordingly.
func planAssignment(
	current assignment, upstreams []discoverer.Upstream, members []string, strength strengths, sharding bool, perShard int,
) assignment {
	count := 1
	if sharding {
		count = shardCount(len(current.Placers), len(upstreams), len(members), perShard)
	} else {
		strength = nil
	}
	next := assignment{
		Number:  current.Number + 1,
		Placers: choosePlacers(current.Placers, members, count, strength),
		Shards:  divide(upstreams, current.Shards, count),
	}
	holders := members
	if len(members) >= 2*hostsPerShard && len(members) >= hostsPerShard*count {
		// Placers hold no upstreams: orders would take the processor time that placing needs.
		holders = slices.DeleteFunc(slices.Clone(members), func(m string) bool { return slices.Contains(next.Placers, m) })
	}
	next.Leaseholders = balance(next.Shards, current.Leaseholders, holders, strength)
	return next
}

// shardCount returns the number of shards. A number above the wanted one is kept while the shards are not
// too small and there is a member for each.
func shardCount(current, upstreams, members, perShard int) int {
	wanted := int(math.Round(float64(upstreams) / float64(perShard)))
	wanted = max(1, min(wanted, members/hostsPerShard))
	if current <= wanted || current > members || float64(upstreams) < minShardSize*float64(current*perShard) {
		return wanted
	}
	return current
}

// choosePlacers returns the placers of a number of shards. Placers that are members stay. Others are
// replaced by the oldest members that are no placers, the leader last, since it has work of its own.
// The placer of a single shard is the leader, as hosts of earlier releases expect. Members of unequal strengths
// are chosen by these.
func choosePlacers(current, members []string, count int, strength strengths) []string {
	if strength.unequal(members) {
		return chooseStrongPlacers(current, members, count, strength)
	}
	if count == 1 {
		return members[:1]
	}
	placers := make([]string, count)
	for i := range placers {
		if i < len(current) && slices.Contains(members, current[i]) {
			placers[i] = current[i]
		}
	}
	for i := range placers {
		if placers[i] != "" {
			continue
		}
		for _, m := range append(slices.Clone(members[1:]), members[0]) {
			if !slices.Contains(placers, m) {
				placers[i] = m
				break
			}
		}
	}
	return placers
}

// divide assigns each upstream to a shard. Upstreams stay in their shard unless it has too many; all
// others go to the shard with the least CPU capacity.
func divide(upstreams []discoverer.Upstream, current map[string]int, count int) map[string]int {
	shards := make(map[string]int, len(upstreams))
	if count == 1 {
		for _, u := range upstreams {
			shards[u.ID] = 0
		}
		return shards
	}
	limit := int(math.Ceil(float64(len(upstreams)) / float64(count) * maxShardShare))
	sizes := make([]int, count)
	capacity := make([]int64, count)
	place := func(u discoverer.Upstream, shard int) {
		shards[u.ID] = shard
		sizes[shard]++
		capacity[shard] += u.Capacity.CPU
	}
	var rest []discoverer.Upstream
	for _, u := range upstreams {
		if shard, known := current[u.ID]; known && shard < count && sizes[shard] < limit {
			place(u, shard)
			continue
		}
		rest = append(rest, u)
	}
	// Large upstreams first, so that the shards end up with equal capacity.
	slices.SortStableFunc(rest, func(a, b discoverer.Upstream) int { return cmp.Compare(b.Capacity.CPU, a.Capacity.CPU) })
	for _, u := range rest {
		least := 0
		for shard := range count {
			if cmp.Or(cmp.Compare(capacity[shard], capacity[least]), cmp.Compare(sizes[shard], sizes[least])) < 0 {
				least = shard
			}
		}
		place(u, least)
	}
	return shards
}

// balance assigns upstreams to holders, none of which gets more than its share by strength, rounded up. It
// reassigns as few upstreams as possible. The other upstreams of a shard go to holders that have some of
// it, so that the leaseholders of a shard are few and the messages between them and its placer, and
// to the entry hosts, carry the ends of several runs.
func balance(shards map[string]int, current map[string]string, holders []string, strength strengths) map[string]string {
	limit := loadLimits(len(shards), holders, strength)
	load := make(map[string]int, len(holders))
	ofShard := make(map[string]map[int]int, len(holders))
	for _, h := range holders {
		load[h] = 0
		ofShard[h] = map[int]int{}
	}
	leaseholders := make(map[string]string, len(shards))
	hold := func(id, holder string) {
		leaseholders[id] = holder
		load[holder]++
		ofShard[holder][shards[id]]++
	}
	ids := slices.SortedFunc(maps.Keys(shards), func(a, b string) int {
		return cmp.Or(cmp.Compare(shards[a], shards[b]), cmp.Compare(a, b))
	})
	var unassigned []string
	for _, id := range ids {
		if n, member := load[current[id]]; member && n < limit[current[id]] {
			hold(id, current[id])
			continue
		}
		unassigned = append(unassigned, id)
	}
	for _, id := range unassigned {
		shard := shards[id]
		hold(id, slices.MinFunc(holders, func(a, b string) int {
			aFull, bFull := load[a] >= limit[a], load[b] >= limit[b]
			if aFull != bFull {
				if aFull {
					return 1
				}
				return -1
			}
			return cmp.Or(cmp.Compare(ofShard[b][shard], ofShard[a][shard]), cmp.Compare(load[a]*limit[b], load[b]*limit[a]))
		}))
	}
	return leaseholders
}
