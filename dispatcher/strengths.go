package dispatcher

import (
	"cmp"
	"slices"

	"sesamedrift.example/sesamedrift/discoverer"
)

// Hosts of a domain may have unequal shares of a processor. Placing is the work that binds, so that the placers are
// strong hosts, and leaseholders get upstreams in proportion to their strength. Leaders are still chosen by age, since
// all hosts must agree on them without messages, and leading takes little work.

// placerStrengthRatio is the ratio of strengths from which on a member replaces a placer. A change of the placer costs a
// placerGracePeriod, so that small differences do not count.
const placerStrengthRatio = 2

// strengths holds the strengths of members in thousandths of a core. A member whose strength is not known has the mean of
// the others.
type strengths map[string]int64

// newStrengths returns the strengths of members from their reports. They are all equal if no member reports one.
func newStrengths(members []string, report func(address string) discoverer.Host) strengths {
	s := strengths{}
	sum, known := int64(0), int64(0)
	for _, m := range members {
		if strength := report(m).Strength; strength > 0 {
			s[m] = strength
			sum += strength
			known++
		}
	}
	for _, m := range members {
		if s[m] == 0 && known > 0 {
			s[m] = max(1, sum/known)
		}
	}
	return s
}

// of returns the strength of a member, which is 1 if no strength is known.
func (s strengths) of(member string) int64 { return max(1, s[member]) }

// exceeds reports whether a member is so much stronger than another one that it replaces it as a placer.
func (s strengths) exceeds(a, b string) bool { return s.of(a) >= placerStrengthRatio*s.of(b) }

// unequal reports whether a member is so much stronger than another one that the choice of placers depends on it.
func (s strengths) unequal(members []string) bool {
	byStrength := func(a, b string) int { return int(s.of(a) - s.of(b)) }
	return len(members) > 0 && s.exceeds(slices.MaxFunc(members, byStrength), slices.MinFunc(members, byStrength))
}

// strongest returns the first of the candidates that no other one exceeds. There must be one candidate at least.
func (s strengths) strongest(candidates []string) string {
	i := slices.IndexFunc(candidates, func(a string) bool {
		return !slices.ContainsFunc(candidates, func(b string) bool { return s.exceeds(b, a) })
	})
	return candidates[i]
}

// chooseStrongPlacers returns the placers of a number of shards in a domain of unequal members, of which there are at
// least as many. Placers that are members stay unless a member that is no placer exceeds them. Of members that do not
// exceed each other, the oldest is preferred, and the leader comes last.
func chooseStrongPlacers(current, members []string, count int, s strengths) []string {
	placers := make([]string, count)
	for i := range placers {
		if i < len(current) && slices.Contains(members, current[i]) {
			placers[i] = current[i]
		}
	}
	candidates := append(slices.Clone(members[1:]), members[0])
	candidates = slices.DeleteFunc(candidates, func(m string) bool { return slices.Contains(placers, m) })
	fill := func(i int, from []string) {
		placers[i] = s.strongest(from)
		candidates = slices.DeleteFunc(candidates, func(m string) bool { return m == placers[i] })
	}
	// Vacancies first, as each of them needs a candidate.
	for i := range placers {
		if placers[i] == "" {
			fill(i, candidates)
		}
	}
	// The weakest placers first, so that none of the replaced ones exceeds a placer that stays.
	byStrength := make([]int, count)
	for i := range byStrength {
		byStrength[i] = i
	}
	slices.SortStableFunc(byStrength, func(i, j int) int { return cmp.Compare(s.of(placers[i]), s.of(placers[j])) })
	for _, i := range byStrength {
		stronger := slices.DeleteFunc(slices.Clone(candidates), func(m string) bool { return !s.exceeds(m, placers[i]) })
		if len(stronger) > 0 {
			fill(i, stronger)
		}
	}
	return placers
}

// loadLimits returns how many of n upstreams each holder gets at most: its share by strength, rounded up.
func loadLimits(n int, holders []string, s strengths) map[string]int {
	sum := int64(0)
	for _, h := range holders {
		sum += s.of(h)
	}
	limits := make(map[string]int, len(holders))
	for _, h := range holders {
		limits[h] = int((int64(n)*s.of(h) + sum - 1) / sum)
	}
	return limits
}

// memberStrengths returns the strengths of members of the domain.
func (c *Core) memberStrengths(members []string) strengths {
	return newStrengths(members, func(address string) discoverer.Host {
		host, _ := c.hosts.Get(address)
		return host
	})
}
