package claimer

import (
	"context"
	"fmt"
	"time"

	"sesamedrift.example/sesamedrift/leaser"
)

// horizonMargins is the number of clock margins by which the horizon is after the time at which
// the previous view was fenced: a key may be created one margin after the clock of its
// coordinator, which may be one margin ahead of the clock of this host.
const horizonMargins = 2

// SyncError reports that the table cannot answer in the view yet, since members of the previous
// view may still accept claims. Fenced is the number of members of the previous view that are
// fenced, and Needed the number that must be.
type SyncError struct {
	View   uint64
	Fenced int
	Needed int
}

func (e *SyncError) Error() string {
	return fmt.Sprintf("claims are not synced for view %d: %d members of the previous view are fenced, %d are needed", e.View, e.Fenced, e.Needed)
}

// tableState is the result of reading the table of one member of the previous view.
type tableState struct {
	member  leaser.Member
	process leaser.Member // the process that owns the table; it may be newer than member
	read    bool          // whether all records of the table are in the local table
	synced  uint64
	horizon time.Time
	// fencedBefore is set if the member was known to be fenced against the previous view before
	// the call of Sync.
	fencedBefore bool
}

func sameProcess(a, b leaser.Member) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation
}

// syncDecision is the result of evaluating the tables of the previous view.
type syncDecision struct {
	open     bool // whether the table may answer in the new view
	complete bool // whether it has the records of a majority of the previous view
	horizon  time.Time
	// fenced lists the hosts that are fenced against the previous view.
	fenced []string
}

// decideSync decides whether a table may answer in the view, given the tables that were read
// from the members of the previous view. Members that had not been synced for the previous view
// have accepted nothing in it. They count for the majority if at least one member had been
// synced, since that member also has the claims accepted in earlier views.
func decideSync(now time.Time, margin time.Duration, view, previous leaser.View, states []tableState, settled bool) syncDecision {
	d := syncDecision{
		horizon: view.Horizon,
	}
	if previous.Number == 0 {
		d.open, d.complete = true, true
		return d
	}
	read, synced, fencedBefore := 0, 0, 0
	for _, s := range states {
		current, isMember := view.Member(s.member.Host)
		restarted := isMember && current.Incarnation > s.member.Incarnation
		if restarted || s.fencedBefore {
			fencedBefore++
		}
		if restarted || s.read && s.process.Incarnation >= s.member.Incarnation {
			d.fenced = append(d.fenced, s.member.Host)
		}
		if !s.read || !sameProcess(s.process, s.member) {
			continue
		}
		read++
		if s.synced >= previous.Number {
			synced++
			if s.horizon.After(d.horizon) {
				d.horizon = s.horizon
			}
		}
	}
	switch {
	case read >= previous.Majority() && synced > 0:
		d.open, d.complete = true, true
	case fencedBefore >= blockingQuorum(previous) || settled:
		d.open = true
		if h := now.Add(horizonMargins * margin); h.After(d.horizon) {
			d.horizon = h
		}
	}
	return d
}

// blockingQuorum returns how many members must be fenced against a view so that the others are
// no majority of it.
func blockingQuorum(v leaser.View) int {
	return len(v.Members) - v.Majority() + 1
}

// Sync lets the table answer in the current view; previous is the view before it (number 0 if
// there is none). Sync fences all members of the previous view that it reaches against that view
// and merges the records of a majority of them. If no majority can be read, but the previous view
// could accept no claims any more before the call, complete is false: keys that were created until
// now and have no recorded outcome are then Unknown. The error is a *SyncError if the previous view
// may have accepted claims until the call; the table then rejects all requests, and the caller
// calls Sync again with a later time.
func (c *Claimer) Sync(ctx context.Context, now time.Time, previous leaser.View) (complete bool, err error) {
	view := c.cfg.View()
	settled := c.cfg.Settled != nil && c.cfg.Settled()
	c.cfg.Table.fence(view.Number)
	states, d := c.readTables(ctx, now, view, previous)
	if !d.complete {
		d = decideSync(now, c.cfg.ClockMargin, view, previous, states, settled)
	}
	c.mu.Lock()
	if c.fencedView != view.Number {
		c.fencedView = view.Number
		c.fencedHosts = map[string]bool{}
	}
	for _, host := range d.fenced {
		c.fencedHosts[host] = true
	}
	c.mu.Unlock()
	if !d.open || !c.cfg.Table.open(view.Number, d.horizon) {
		return false, &SyncError{
			View:   view.Number,
			Fenced: len(d.fenced),
			Needed: blockingQuorum(previous),
		}
	}
	return d.complete, nil
}

// readTables reads the tables of the members of the previous view until a majority has been read
// or none remains.
func (c *Claimer) readTables(ctx context.Context, now time.Time, view, previous leaser.View) ([]tableState, syncDecision) {
	reads := make(chan tableState, len(previous.Members))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i, m := range previous.Members {
		switch {
		case sameProcess(m, c.cfg.Self):
			reads <- c.cfg.Table.state()
		case m.Host == c.cfg.Self.Host:
			reads <- tableState{
				member: m,
			}
		default:
			go func() {
				reads <- c.readTable(ctx, tableReader{
					state: tableState{
						member: m,
					},
					view:        view.Number,
					previous:    previous.Number,
					newestFirst: i%2 == 1,
				})
			}()
		}
	}
	var states []tableState
	for range previous.Members {
		s := <-reads
		c.mu.Lock()
		s.fencedBefore = c.fencedView == view.Number && c.fencedHosts[s.member.Host]
		c.mu.Unlock()
		states = append(states, s)
		if d := decideSync(now, c.cfg.ClockMargin, view, previous, states, false); d.complete {
			return states, d
		}
	}
	return states, syncDecision{}
}

// readTable merges the records of a member's table that the local table lacks. Records that were
// merged before a failure are kept, so that the next call of Sync has less to read.
func (c *Claimer) readTable(ctx context.Context, r tableReader) tableState {
	for {
		reply, err := c.cfg.Call(ctx, r.state.member, r.request(c.cfg.Table))
		if err != nil {
			return tableState{
				member: r.state.member,
			}
		}
		if !r.handleReply(c.cfg.Table, reply) {
			return r.state
		}
	}
}

// state returns the result of reading this table, as another member would get it.
func (t *Table) state() tableState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return tableState{
		member:  t.self,
		process: t.self,
		read:    true,
		synced:  t.synced,
		horizon: t.horizon,
	}
}
