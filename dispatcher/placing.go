package dispatcher

import (
	"maps"
	"slices"
	"time"

	"sesamedrift.example/sesamedrift/finder"
	"sesamedrift.example/sesamedrift/placer"
)

// placedUpstream is what the placer knows of the keeper's side of an upstream.
type placedUpstream struct {
	// keeper is the host that has reported the upstream as ready, or empty.
	keeper string
}

// beginPlacing makes this host the placer of its domain.
func (h *Host) beginPlacing(now time.Time) {
	h.placer = placer.New(placer.Config{Domain: h.cfg.Self.Domain})
	h.setPlaces(now, true)
	h.connectNeighbours()
	h.placing = map[string]placedUpstream{}
	for _, u := range h.upstreams.All() {
		h.placeOn(now, u)
	}
	h.assign(now)
}

// placeOn passes an upstream of the domain on to the placer.
func (h *Host) placeOn(now time.Time, u finder.Upstream) {
	if h.placer == nil || u.Domain != h.cfg.Self.Domain {
		return
	}
	if u.State == finder.Gone {
		h.placer.DropUpstream(u.ID)
		delete(h.placing, u.ID)
		return
	}
	h.placer.SetUpstream(placer.Upstream{
		ID:       u.ID,
		Service:  u.Service,
		Kind:     u.Kind,
		Rack:     u.Rack,
		Capacity: u.Capacity,
	})
	h.updateUsable(now, u.ID)
}

// endPlacing leaves the placing to another host of the domain. Jobs that this host has passed
// on to other domains go on.
func (h *Host) endPlacing() {
	h.placer = nil
	h.setPlaces(h.cfg.Now(), false)
}

// updateUsable tells the placer whether tasks may be placed on an upstream: its keeper says
// that it is ready, and it does not leave.
func (h *Host) updateUsable(now time.Time, id string) {
	u, known := h.upstreams.Get(id)
	p := h.placing[id]
	usable := known && u.State == finder.Serving && p.keeper != "" && p.keeper == h.assigned.Keepers[id]
	h.placer.SetUsable(now, id, usable)
}

// assign chooses a keeper for each upstream of the domain and tells all members if that
// changes anything. Keepers that are members stay; the others' upstreams, and the excess of
// members with more than their share, go to the members with the fewest.
func (h *Host) assign(now time.Time) {
	members := h.members()
	if len(members) == 0 {
		return
	}
	keepers := share(h.domainUpstreams(), h.assigned.Keepers, members)
	if maps.Equal(keepers, h.assigned.Keepers) {
		return
	}
	next := assignment{
		Number:  h.assigned.Number + 1,
		Keepers: keepers,
	}
	h.setAssignment(now, next)
	// Hosts that leave are told too: they let go of their upstreams and ask the new keepers
	// about the runs of their jobs.
	for _, peer := range slices.Sorted(maps.Keys(h.up)) {
		h.tell(peer, kindAssignment, next)
	}
}

// domainUpstreams returns the identifiers of the upstreams of the domain.
func (h *Host) domainUpstreams() []string {
	var ids []string
	for _, u := range h.upstreams.All() {
		if u.Domain == h.cfg.Self.Domain && u.State != finder.Gone {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// share distributes upstreams evenly over members and moves as few as possible.
func share(upstreams []string, before map[string]string, members []string) map[string]string {
	most := (len(upstreams) + len(members) - 1) / len(members)
	load := make(map[string]int, len(members))
	for _, m := range members {
		load[m] = 0
	}
	keepers := make(map[string]string, len(upstreams))
	var open []string
	for _, id := range upstreams {
		k := before[id]
		if n, member := load[k]; !member || n >= most {
			open = append(open, id)
			continue
		}
		keepers[id] = k
		load[k]++
	}
	for _, id := range open {
		least := slices.MinFunc(members, func(a, b string) int { return load[a] - load[b] })
		keepers[id] = least
		load[least]++
	}
	return keepers
}

// setAssignment puts an assignment in force here.
func (h *Host) setAssignment(now time.Time, a assignment) {
	h.assigned = a
	h.updateKeeps(now)
	if h.placer != nil {
		for id := range a.Keepers {
			h.updateUsable(now, id)
		}
	}
	h.followKeepers(now)
}

func (h *Host) receiveAssignment(now time.Time, from string, a assignment) {
	if from != h.placerAt || from == h.cfg.Self.Address {
		return
	}
	h.setAssignment(now, a)
}

// joined answers a host that regards this one as the placer.
func (h *Host) joined(now time.Time, from string) {
	if h.placer == nil {
		return
	}
	h.assign(now)
	if from != h.cfg.Self.Address {
		h.tell(from, kindAssignment, h.assigned)
	}
}

func (h *Host) receiveAsk(now time.Time, from string, a ask) {
	if h.placer == nil {
		// The sender asks again once it has learned of the change.
		return
	}
	j := placer.Job{
		ID:       a.Job,
		Entry:    from,
		Queue:    a.Queue,
		Service:  a.Service,
		Priority: a.Priority,
		Slack:    a.Slack,
		Target:   a.Target,
		Arrived:  now.Add(-a.Age),
		Deadline: now.Add(a.Left),
		Rest:     a.Rest,
		Begun:    a.Begun,
		PassedOn: a.PassedOn,
	}
	for _, t := range a.Tasks {
		j.Tasks = append(j.Tasks, placer.Task{
			Run:         t.Run,
			Demand:      t.Demand,
			Estimate:    t.Estimate,
			Requires:    t.Requires,
			Rack:        t.Rack,
			PerUpstream: t.PerUpstream,
			Avoid:       t.Avoid,
		})
	}
	h.placer.Ask(now, j)
}

func (h *Host) receiveWithdraw(from string, w withdraw) {
	if h.placer != nil {
		h.placer.Withdraw(from, w.Job)
	}
}

func (h *Host) receiveReturned(now time.Time, r returned) {
	if h.placer != nil {
		h.placer.Return(now, r.Upstream, r.Run)
	}
}

// receiveRuns takes in what a keeper says of an upstream.
func (h *Host) receiveRuns(now time.Time, from string, r runs) {
	if h.placer == nil {
		return
	}
	if h.assigned.Keepers[r.Upstream] != from {
		return
	}
	p := h.placing[r.Upstream]
	p.keeper = ""
	if r.Ready {
		p.keeper = from
		h.placer.Report(now, r.Upstream, r.Running)
	}
	h.placing[r.Upstream] = p
	h.updateUsable(now, r.Upstream)
}

func (h *Host) receiveFreed(now time.Time, from string, f freed) {
	if h.placer == nil || h.assigned.Keepers[f.Upstream] != from {
		return
	}
	h.placer.Ended(now, f.Upstream, f.Run, f.How, f.Reason, f.Took)
}

func (h *Host) receiveProgress(now time.Time, from string, m progress) {
	if h.placer == nil {
		return
	}
	for _, r := range m.Runs {
		if h.assigned.Keepers[r.Upstream] == from {
			h.placer.Progress(r.Upstream, r.Run, r.Percent, r.Ran)
		}
	}
}

// sendDecisions tells entries what the placer has decided.
func (h *Host) sendDecisions() {
	if h.placer == nil {
		return
	}
	for _, d := range h.placer.Drain() {
		switch {
		case d.Stop != nil:
			h.log.Info("run moved", "run", d.Stop.Run.String(), "upstream", d.Stop.Upstream)
			h.tell(h.assigned.Keepers[d.Stop.Upstream], kindStop, stop{
				Upstream: d.Stop.Upstream,
				Run:      d.Stop.Run,
			})
		case d.PassTo != "":
			h.tell(d.Entry, kindPassOn, passOn{
				Job:    d.Job,
				Domain: d.PassTo,
			})
		case d.Superseded:
			h.tell(d.Entry, kindSuperseded, superseded{Job: d.Job})
		case len(d.Grants) > 0:
			g := granted{Job: d.Job}
			for _, one := range d.Grants {
				g.Places = append(g.Places, grantedRun{
					Run:      one.Run,
					Upstream: one.Upstream,
					Keeper:   h.assigned.Keepers[one.Upstream],
				})
			}
			h.tell(d.Entry, kindGranted, g)
		case d.Refused:
			h.tell(d.Entry, kindRefused, refused{
				Job:        d.Job,
				Reason:     string(d.Reason),
				RetryAfter: d.RetryAfter,
			})
		}
	}
}
