package server

import (
	"context"
	"errors"
	"time"

	"sesamedrift.example/sesamedrift/claimer"
	"sesamedrift.example/sesamedrift/leaser"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/reporter"
)

// defaultRetention is the retention time of keys while no environment document is active.
const defaultRetention = 10 * time.Minute

// claimRequest is a request to the claim table of a member.
type claimRequest struct {
	Request claimer.Request `msgpack:"request"`
	// From is the requesting host.
	From string `msgpack:"from"`
}

// claimReply is the reply to a claimRequest, with a report of the member's slots.
type claimReply struct {
	Reply claimer.Reply `msgpack:"reply"`
	Slots slotReport    `msgpack:"slots"`
}

// newClaims returns the claim table of this host, and the claimer that uses the tables of all members
// of the view.
func newClaims(h *Host) (*claimer.Table, *claimer.Claimer) {
	margin := h.cfg.Settings.ClockMargin.Std()
	table := claimer.NewTable(defaultRetention)
	table.MaxAnswerBytes = maxAnswerBytes
	table.ClockMargin = margin
	return table, claimer.New(claimer.Config{
		Self:        h.self,
		View:        h.members.view,
		Table:       table,
		ClockMargin: margin,
		// A caller that sends its key again after a refusal increments the try, which has a claim
		// of its own.
		FinalRefusals: true,
		Call:          h.callMember,
	})
}

func (h *Host) callMember(ctx context.Context, m leaser.Member, r claimer.Request) (claimer.Reply, error) {
	if r.Type == claimer.TypeCompare || r.Type == claimer.TypeFetch {
		// Reading a whole table takes long; the shorter timeout applies to each part of it.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, syncPartTimeout)
		defer cancel()
	}
	reply, err := callPeer[claimReply](ctx, h, m.Host, messenger.KindClaim, claimRequest{
		Request: r,
		From:    h.cfg.Settings.Host,
	})
	var notSent *messenger.NotSentError
	switch {
	case errors.As(err, &notSent):
		return claimer.Reply{}, &claimer.NotSentError{
			Member: m.Host,
			Err:    err,
		}
	case err != nil:
		return claimer.Reply{}, err
	}
	h.receiveSlotReport(m.Host, reply.Slots)
	return reply.Reply, nil
}

func (h *Host) serveClaim(in claimRequest) (claimReply, error) {
	return claimReply{
		Reply: h.claimTable.Handle(h.now(), h.members.view(), in.Request),
		Slots: h.slots.report(in.From),
	}, nil
}

// syncClaims merges the claims of the previous view into the claim table of this host, unless the
// table is synced already or a merge is under way.
func (h *Host) syncClaims(ctx context.Context) {
	v := h.members.view()
	if h.claimsSynced() || !v.Has(h.self) {
		return
	}
	if !h.syncingClaims.CompareAndSwap(false, true) {
		return
	}
	defer h.syncingClaims.Store(false)
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	complete, err := h.claims.Sync(ctx, h.now(), previousView(v))
	if err == nil && !complete {
		reporter.Log(ctx, h.log, reporter.HorizonRaised, "view", v.Number)
	}
}

// claimsSynced reports whether the claim table is synced for the current view, or this host is not a
// member of it.
func (h *Host) claimsSynced() bool {
	v := h.members.view()
	return !v.Has(h.self) || h.claimTable.SyncedView() >= v.Number
}

// previousView returns the view that v replaced.
func previousView(v leaser.View) leaser.View {
	return leaser.View{
		Domain:  v.Domain,
		Number:  v.Number - 1,
		Members: v.PreviousMembers,
	}
}
