package validator

import (
	"fmt"
	"net/netip"
	"sort"

	"sesamedrift.example/sesamedrift"
)

// checkSettings adds the problems of settings that the schema cannot express: contradictions
// between values.
func checkSettings(c *checker, s Settings) {
	checkPeers(c, s)
	checkReplicas(c, s)
	checkTimings(c, s)
	if s.OperatorToken != "" && s.OperatorToken == s.PeerToken {
		c.add("$.peer-token", hiddenValue, "want a token that differs from `operator-token`")
	}
	if s.TLSCertificate != "" && s.TLSKey == "" {
		c.add("$.tls-certificate", s.TLSCertificate, "want `tls-key` as well, or neither", "$.tls-key")
	}
	if s.TLSKey != "" && s.TLSCertificate == "" {
		c.add("$.tls-key", s.TLSKey, "want `tls-certificate` as well, or neither", "$.tls-certificate")
	}
}

// uniqueChecker adds a problem for each repeated use of a value that must be unique.
type uniqueChecker struct {
	c    *checker
	noun string            // what the values are, for the message
	seen map[string]string // paths of the first uses, by key
}

func newUniqueChecker(c *checker, noun string) *uniqueChecker {
	return &uniqueChecker{
		c:    c,
		noun: noun,
		seen: map[string]string{},
	}
}

func (u *uniqueChecker) add(path, value string) {
	if value != "" {
		u.addKey(path, value, value)
	}
}

// addKey records a value, and adds a problem if another value has the same key.
func (u *uniqueChecker) addKey(path, value, key string) {
	if first, ok := u.seen[key]; ok {
		u.c.add(path, value, fmt.Sprintf("want %s that is not used at %s", u.noun, first))
		return
	}
	u.seen[key] = path
}

// addAddress records an address. Addresses are compared by value, so that different texts of the
// same IP number are equal.
func (u *uniqueChecker) addAddress(path, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return
	}
	u.addKey(path, value, netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String())
}

func checkPeers(c *checker, s Settings) {
	hosts := newUniqueChecker(c, "a host name")
	addresses := newUniqueChecker(c, "an address")
	hosts.add("$.host", s.Host)
	addresses.addAddress("$.http-address", s.HTTPAddress)
	addresses.addAddress("$.peer-address", s.PeerAddress)
	for i, p := range s.Peers {
		path := itemPath("$.peers", i)
		hosts.add(path+".host", p.Host)
		addresses.addAddress(path+".address", p.Address)
		addresses.addAddress(path+".http-address", p.HTTPAddress)
	}
}

func checkReplicas(c *checker, s Settings) {
	if s.Replica && s.DataFolder == "" {
		c.add("$.replica", true, "want `data-folder` as well, since a replica stores registers", "$.data-folder")
	}
	if s.Bootstrap && !s.Replica {
		c.add("$.bootstrap", true, "want `replica` to be `true`, since only replicas form the first set", "$.replica")
	}
	related := make([]string, 0, len(s.Peers)+2)
	related = append(related, "$.replica", "$.peers")
	for i := range s.Peers {
		related = append(related, itemPath("$.peers", i)+".replica")
	}
	switch n := len(s.Replicas()); n {
	case 1, 3, 5:
	default:
		c.add("$.peers", n, "want 1, 3 or 5 replicas among this host and its peers", related...)
	}
}

func checkTimings(c *checker, s Settings) {
	requireBelow := func(lowName string, low Duration, highName string, high Duration) {
		if low >= high {
			message := fmt.Sprintf("want less than `%s` (%s)", highName, high)
			c.add("$."+lowName, low, message, "$."+highName)
		}
	}
	requireBelow("heartbeat-every", s.HeartbeatEvery, "suspect-after", s.SuspectAfter)
	requireBelow("heartbeat-every", s.HeartbeatEvery, "lease-time", s.LeaseTime)
	requireBelow("drift-margin", s.DriftMargin, "lease-time", s.LeaseTime)
}

// checkEnvironment adds the problems of an environment document that the schema cannot express:
// contradictions between values.
func checkEnvironment(c *checker, e Environment) {
	checkDomains(c, e)
	checkServices(c, e)
	checkTeams(c, e)
}

func checkDomains(c *checker, e Environment) {
	names := newUniqueChecker(c, "a failure domain name")
	index := map[string]int{}
	namePaths := make([]string, 0, len(e.Domains)+1)
	namePaths = append(namePaths, "$.domains")
	for i, d := range e.Domains {
		path := itemPath("$.domains", i) + ".name"
		names.add(path, d.Name)
		namePaths = append(namePaths, path)
		if _, ok := index[d.Name]; !ok {
			index[d.Name] = i
		}
	}
	for i, d := range e.Domains {
		distances := itemPath("$.domains", i) + ".distance"
		for _, to := range sortedNames(d.Distance) {
			path := fieldPath(distances, to)
			if _, ok := index[to]; !ok {
				c.add(path, d.Distance[to], "want a failure domain of the document, "+sesamedrift.OneOf(e.DomainNames()), namePaths...)
			}
			if to == d.Name {
				c.add(path, d.Distance[to], "want no distance from a failure domain to itself")
			}
		}
		checkDistances(c, e, index, i)
	}
}

// checkDistances adds a problem for each later domain whose distance to domain i is missing or
// differs between the two directions.
func checkDistances(c *checker, e Environment, index map[string]int, i int) {
	from := e.Domains[i]
	for j := i + 1; j < len(e.Domains); j++ {
		to := e.Domains[j]
		if from.Name == "" || to.Name == "" || index[to.Name] != j || index[from.Name] != i {
			continue
		}
		forwardPath := fieldPath(itemPath("$.domains", i)+".distance", to.Name)
		reversePath := fieldPath(itemPath("$.domains", j)+".distance", from.Name)
		distance, ok := from.Distance[to.Name]
		reverse, reverseOK := to.Distance[from.Name]
		switch {
		case !ok && !reverseOK:
			c.add(forwardPath, nil, "missing; want the distance, the same in both directions", reversePath)
		case !ok:
			c.add(forwardPath, nil, fmt.Sprintf("missing; want the same as %s (%s)", reversePath, reverse), reversePath)
		case !reverseOK:
			c.add(reversePath, nil, fmt.Sprintf("missing; want the same as %s (%s)", forwardPath, distance), forwardPath)
		case distance != reverse:
			c.add(reversePath, reverse, fmt.Sprintf("want the same as %s (%s)", forwardPath, distance), forwardPath)
		}
	}
}

func sortedNames(distances map[string]Duration) []string {
	names := make([]string, 0, len(distances))
	for name := range distances {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func checkServices(c *checker, e Environment) {
	names := newUniqueChecker(c, "a service name")
	for i, s := range e.Services {
		path := itemPath("$.services", i)
		names.add(path+".name", s.Name)
		if s.MaxQueue < e.Limits.MaxTasks {
			message := fmt.Sprintf("want at least `limits.max-tasks` (%d), or the largest job can never be queued", e.Limits.MaxTasks)
			c.add(path+".max-queue", s.MaxQueue, message, "$.limits.max-tasks")
		}
		kinds := newUniqueChecker(c, "a kind name")
		for j, k := range s.Kinds {
			kindPath := itemPath(path+".kinds", j)
			kinds.add(kindPath+".name", k.Name)
			checkKind(c, kindPath, k, e.Limits.Retention)
		}
	}
}

func checkKind(c *checker, path string, k Kind, retention Duration) {
	if k.Deadline < k.ExpectedRunTime {
		message := fmt.Sprintf("want at least `expected` (%s), or every submission is late", k.ExpectedRunTime)
		c.add(path+".deadline", k.Deadline, message, path+".expected")
	}
	if k.MaxRunTime < k.ExpectedRunTime {
		message := fmt.Sprintf("want at least `expected` (%s), or every task is ended early", k.ExpectedRunTime)
		c.add(path+".max-run-time", k.MaxRunTime, message, path+".expected")
	}
	if k.Deadline+k.MaxRunTime > retention {
		message := fmt.Sprintf("want at least `deadline` plus `max-run-time` of %s (%s), or a key expires while its tasks run",
			path, k.Deadline+k.MaxRunTime)
		c.add("$.limits.retention", retention, message, path+".deadline", path+".max-run-time")
	}
}

func checkTeams(c *checker, e Environment) {
	servicePaths := make([]string, 0, len(e.Services)+1)
	servicePaths = append(servicePaths, "$.services")
	known := make(map[string]bool, len(e.Services))
	for i, s := range e.Services {
		servicePaths = append(servicePaths, itemPath("$.services", i)+".name")
		known[s.Name] = true
	}
	names := newUniqueChecker(c, "a team name")
	for i, t := range e.Teams {
		path := itemPath("$.teams", i)
		names.add(path+".name", t.Name)
		services := newUniqueChecker(c, "a service name")
		for j, service := range t.Services {
			servicePath := itemPath(path+".services", j)
			services.add(servicePath, service)
			if !known[service] && service != "" {
				c.add(servicePath, service, "want a service of the document, "+sesamedrift.OneOf(e.ServiceNames()), servicePaths...)
			}
		}
	}
}
