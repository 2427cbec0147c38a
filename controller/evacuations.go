package controller

import (
	"context"
	"errors"
	"time"

	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/reporter"
)

const (
	// evacuationReadTimeout bounds one majority read of the evacuations after the start, and
	// evacuationRetryInterval is the time between two of them. They are short, since no task starts in the
	// whole system before.
	evacuationReadTimeout   = 300 * time.Millisecond
	evacuationRetryInterval = 20 * time.Millisecond
	// evacuationReadLimit is the time without an answer of a majority after which the stored state counts.
	// Without this limit, no domain would serve after a restart while half of the control hosts are lost.
	evacuationReadLimit = 2 * time.Second
)

// BeginEvacuation stores the order that no task starts in a domain. After ErrNotReady and an
// *evacuator.UnreadableError nothing was changed; after any other error the order may or may not be in force.
// The argument who names the operator in the audit trail.
func (h *Host) BeginEvacuation(ctx context.Context, who, domain string) error {
	return h.orderEvacuation(ctx, reporter.EvacuationBegun, h.evacuator.Begin, who, domain)
}

// FinishEvacuation stores the order that takes a domain back into service. Its errors are those of
// BeginEvacuation.
func (h *Host) FinishEvacuation(ctx context.Context, who, domain string) error {
	return h.orderEvacuation(ctx, reporter.EvacuationFinished, h.evacuator.Finish, who, domain)
}

func (h *Host) orderEvacuation(ctx context.Context, event reporter.Event,
	order func(ctx context.Context, now time.Time, who, domain string) (evacuator.State, error), who, domain string,
) error {
	if !h.replica.Votes() {
		return ErrNotReady
	}
	began := h.cfg.Now()
	state, err := order(ctx, began, who, domain)
	took := h.cfg.Now().Sub(began)
	result := "stored"
	if err != nil {
		result = "unknown"
		event = reporter.EvacuationNotStored
	}
	scope := h.cfg.Metrics.Scope.Tagged(map[string]string{"result": result})
	scope.Counter("evacuation_orders").Inc(1)
	scope.Histogram("evacuation_order_time", publishBuckets).RecordDuration(took)
	reporter.Log(ctx, h.log, event, "who", who, "domain", domain, "version", state.Version, "evacuated", state.Domains,
		"error", err, "took", took)
	return err
}

// applyEvacuations distributes the state of an entry of the evacuations if it is newer than the known one. If the
// entry cannot be read, this host keeps the state that it has.
func (h *Host) applyEvacuations(e registrar.Entry) {
	state, err := evacuator.Decode(e)
	if err != nil {
		reporter.Log(context.Background(), h.log, reporter.EvacuationsUnreadable, "version", e.Version, "error", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuationsUnreadable = err != nil
	if err == nil && h.putEvacuations(state) {
		h.notifyPollers()
	}
}

// putEvacuations records a state of evacuations and returns whether it is newer than the known one. The
// caller holds h.mu.
func (h *Host) putEvacuations(s evacuator.State) bool {
	if s.Version <= h.evacuations.Version {
		return false
	}
	h.evacuations = s
	return true
}

// learnEvacuations reads the evacuations from a majority until that succeeds, and then tells polling hosts
// that this host knows them. A replica that has just recovered may have missed the last orders. The same holds
// after a replica has not voted, for example because its journal has failed, so that they are then read again.
// If no majority answers for evacuationReadLimit, what this replica has stored counts. As long as the state is
// unreadable, this host does not know the evacuations: the newest readable state may lack orders that were
// acknowledged.
func (h *Host) learnEvacuations(ctx context.Context) {
	var votesSince time.Time
	for ; ctx.Err() == nil; messenger.Sleep(ctx, evacuationRetryInterval) {
		votes := h.replica.Votes()
		if h.knowsEvacuations(votes) {
			// After a failure, the replica votes again after repairEvery at the earliest.
			messenger.Sleep(ctx, repairEvery/2)
			continue
		}
		if !votes {
			votesSince = time.Time{}
			continue
		}
		if votesSince.IsZero() {
			votesSince = h.cfg.Now()
		}
		readCtx, cancel := context.WithTimeout(ctx, evacuationReadTimeout)
		state, err := h.evacuator.Newest(readCtx, h.cfg.Now())
		cancel()
		var unreadable *evacuator.UnreadableError
		if errors.As(err, &unreadable) {
			// applyEvacuations has logged the error, as the read has stored the entry on this replica. It may last,
			// so that the next read is delayed for longer.
			messenger.Sleep(ctx, evacuationReadTimeout)
			continue
		}
		if err != nil && h.cfg.Now().Sub(votesSince) < evacuationReadLimit {
			continue
		}
		h.mu.Lock()
		if err != nil && h.evacuationsUnreadable {
			h.mu.Unlock()
			continue
		}
		h.putEvacuations(state)
		h.evacuationsKnown = true
		version := h.evacuations.Version
		h.notifyPollers()
		h.mu.Unlock()
		reporter.Log(ctx, h.log, reporter.EvacuationsLearned, "version", version, "after", h.cfg.Now().Sub(votesSince), "error", err)
	}
}

// knowsEvacuations reports whether this host knows the evacuations, which it does no more once its replica does not vote.
func (h *Host) knowsEvacuations(votes bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuationsKnown = h.evacuationsKnown && votes
	return h.evacuationsKnown
}
