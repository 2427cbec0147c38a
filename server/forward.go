package server

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/claimer"
	"sesamedrift.example/sesamedrift/leaser"
	"sesamedrift.example/sesamedrift/messenger"
)

const (
	// answerMargin is added to the timeout of a forwarded call, so that the host that runs the
	// submission times out first.
	answerMargin = 500 * time.Millisecond
	// findTimeout bounds the search for a submission that has no deadline of its own.
	findTimeout = time.Minute
)

// errNoOutcome is the reason of the outcome "unknown" when the coordinator no longer has the
// submission and no majority has recorded an outcome.
var errNoOutcome = errors.New("the submission has no recorded outcome")

// lookup is a request to find or cancel a submission, sent to its home domain or to its
// coordinator.
type lookup struct {
	Key sesamedrift.Key `msgpack:"key"`
	Try int             `msgpack:"try"`
	// AtCoordinator says that the receiver is the coordinator and must not call other hosts.
	AtCoordinator bool `msgpack:"here"`
	// ReleaseID has the same meaning as in request.
	ReleaseID string `msgpack:"release"`
}

// identity returns the key of the submission's claim.
func (l lookup) identity() string { return tryIdentity(l.Key, l.Try) }

// submitToDomain forwards a submission to a host of its home domain. If that host may have received
// it, no other host is tried.
func (h *Host) submitToDomain(ctx context.Context, home string, r *request) (sesamedrift.Outcome, *Error) {
	forwarded := *r
	forwarded.ReleaseID = uuid.NewString()
	reply, err := h.callDomain(ctx, domainCall{
		domain:    home,
		key:       r.Submission.Key,
		deadline:  r.Submission.Deadline.Add(answerMargin),
		releaseID: forwarded.ReleaseID,
		kind:      messenger.KindSubmit,
		in:        forwarded,
	})
	return submissionOutcome(&r.Submission, home, reply, err)
}

var errEmptyReply = errors.New("the reply has neither an outcome nor an error")

// submissionOutcome returns what the reply of the home domain to a submission says. Without a usable reply the submission
// may have run.
func submissionOutcome(s *sesamedrift.Submission, home string, reply response, err error) (sesamedrift.Outcome, *Error) {
	if err == nil && (reply.Error != nil || reply.Outcome != nil) {
		return fromResponse(reply)
	}
	return sesamedrift.IncompleteOutcome(s, sesamedrift.Unknown,
		"the home domain "+home+" could not be asked: "+cmp.Or(err, errEmptyReply).Error()), nil
}

var errUnresponsivePeer = errors.New("the host left the last exchange unanswered")

// domainCall is a call to any host of another failure domain about one key.
type domainCall struct {
	domain   string
	key      sesamedrift.Key
	deadline time.Time
	// releaseID identifies the caller on whose behalf the call is made. It is empty if the peer need
	// not be notified when the caller disconnects.
	releaseID string
	kind      messenger.Kind
	in        any
}

// callDomain calls the hosts of a domain in turn until one may have received the message. The key
// determines the order, so that calls are spread over the hosts and a submission that is sent again
// reaches the host that runs it. Hosts that did not answer the last exchange are skipped: on a link
// that drops messages silently, the call would last until its deadline.
func (h *Host) callDomain(ctx context.Context, c domainCall) (response, error) {
	callCtx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	err := errors.New("the settings name no host of the domain")
	for _, host := range sortByWeight(c.key, h.peersIn(c.domain)) {
		if h.exchanges.unresponsive(host) {
			err = &messenger.NotSentError{Err: errUnresponsivePeer}
			continue
		}
		var reply response
		reply, err = h.callWithRelease(ctx, callCtx, host, c.releaseID, c.kind, c.in)
		var notSent *messenger.NotSentError
		if !errors.As(err, &notSent) {
			return reply, err
		}
	}
	return response{}, err
}

// sortByWeight sorts hosts in place by descending rendezvous hash weight for a key, and returns them.
func sortByWeight(key sesamedrift.Key, hosts []string) []string {
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Compare(sesamedrift.RendezvousHash(key.ID, b), sesamedrift.RendezvousHash(key.ID, a))
	})
	return hosts
}

// callWithRelease calls a peer on behalf of a caller. When the caller disconnects (ctx is done), the
// peer is notified so that it answers early. The call lasts until the answer or until callCtx is
// done.
func (h *Host) callWithRelease(ctx, callCtx context.Context, host, releaseID string, kind messenger.Kind, in any) (response, error) {
	stop := context.AfterFunc(ctx, func() {
		h.sendOneWay(host, messenger.KindCallerDisconnected, releaseNotice{ReleaseID: releaseID})
	})
	defer stop()
	return callPeer[response](callCtx, h, host, kind, in)
}

// releaseNotice notifies a peer that the caller of a forwarded call has disconnected.
type releaseNotice struct {
	ReleaseID string `msgpack:"release"`
}

// empty is the reply to a message that returns nothing.
type empty struct{}

func (h *Host) serveRelease(in releaseNotice) (empty, error) {
	h.releases.end(in.ReleaseID)
	return empty{}, nil
}

func (h *Host) serveSubmit(ctx context.Context, in request) (response, error) {
	env, e := h.environment(in.Environment)
	if e != nil {
		return response{Error: e}, nil
	}
	if e := h.checkReady(); e != nil {
		return response{Error: e}, nil
	}
	ctx, done := h.releases.begin(ctx, in.ReleaseID)
	defer done()
	return toResponse(h.coordinate(ctx, env, &in)), nil
}

func (h *Host) serveFind(ctx context.Context, in lookup) (response, error) {
	ctx, done := h.releases.begin(ctx, in.ReleaseID)
	defer done()
	if in.AtCoordinator {
		return toResponse(h.findLocal(ctx, in)), nil
	}
	return toResponse(h.findAtHome(ctx, in)), nil
}

func (h *Host) serveCancel(ctx context.Context, in lookup) (response, error) {
	if in.AtCoordinator {
		if !h.cancelLocal(in.identity()) {
			return response{Error: notFound("the submission does not run here")}, nil
		}
		return response{}, nil
	}
	return response{Error: h.cancelAtHome(ctx, in)}, nil
}

// find returns the outcome of a submission. It waits for the outcome if the submission has not
// ended.
func (h *Host) find(ctx context.Context, key sesamedrift.Key, try int) (sesamedrift.Outcome, *Error) {
	home, e := h.homeDomain(key)
	if e != nil {
		return sesamedrift.Outcome{}, e
	}
	l := lookup{
		Key:       key,
		Try:       try,
		ReleaseID: uuid.NewString(),
	}
	if home == h.cfg.Settings.Domain {
		return h.findAtHome(ctx, l)
	}
	reply, err := h.callDomain(ctx, domainCall{
		domain:    home,
		key:       key,
		deadline:  h.now().Add(findTimeout),
		releaseID: l.ReleaseID,
		kind:      messenger.KindFind,
		in:        l,
	})
	if err == nil {
		return fromResponse(reply)
	}
	return unknownOutcome(key, "the home domain "+home+" could not be asked: "+err.Error()), nil
}

func (h *Host) findAtHome(ctx context.Context, l lookup) (sesamedrift.Outcome, *Error) {
	if j := h.addWaiter(l.identity()); j != nil {
		return h.wait(ctx, j)
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	d, err := h.claims.Find(claimCtx, h.now(), l.identity(), l.Key.Created)
	if err != nil {
		return unknownOutcome(l.Key, err.Error()), nil
	}
	switch d.Status {
	case claimer.Recorded:
		o := d.Outcome
		o.Key = l.Key.String()
		return o, nil
	case claimer.InProgress:
		// If the coordinator cannot be reached, the outcome is unknown and its reason says so.
		o, e, _ := h.findAt(ctx, d.Coordinator, l)
		return o, e
	case claimer.Expired:
		return sesamedrift.Outcome{}, keyExpired(l.Key.String(), h.claimTable.Retention())
	case claimer.Unknown, claimer.Unavailable:
		return unknownOutcome(l.Key, "the submission may have run"), nil
	case claimer.NotFound:
		return sesamedrift.Outcome{}, notFound("no submission has this key")
	case claimer.Granted, claimer.Conflict:
		panic("server: a search cannot end with " + string(d.Status))
	default:
		panic("server: decision " + string(d.Status) + " is not known")
	}
}

// findAt requests the outcome of a submission from its coordinator m. If the coordinator cannot be
// reached, or no longer has the submission and no majority has an outcome, the outcome is unknown
// and the error is the cause. If this host is the coordinator, the error is nil unless another host
// has taken the claim over.
func (h *Host) findAt(ctx context.Context, m leaser.Member, l lookup) (sesamedrift.Outcome, *Error, error) {
	if m.Host == h.cfg.Settings.Host {
		// The job ended after the search for it on this host. Its outcome is recorded, unless no
		// majority could be reached.
		o, e := h.recordedOutcome(ctx, l)
		if isUnrecorded(o) && h.claimLost(ctx, l, o) {
			return o, e, errNoOutcome
		}
		return o, e, nil
	}
	l.AtCoordinator = true
	callCtx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	reply, err := h.callWithRelease(ctx, callCtx, m.Host, l.ReleaseID, messenger.KindFind, l)
	if err != nil {
		return unknownOutcome(l.Key, "the host that runs the submission could not be asked: "+err.Error()), nil, err
	}
	if reply.Error != nil && reply.Error.Code == "not-found" {
		// The submission has just ended, or the host has restarted or is stopping.
		o, e := h.recordedOutcome(ctx, l)
		if isUnrecorded(o) {
			return o, e, errNoOutcome
		}
		return o, e, nil
	}
	o, e := fromResponse(reply)
	return o, e, nil
}

// claimLost tries to record the outcome o of a submission that this host ended without a record on
// a majority. It reports whether another host has taken the claim over. In that case this host
// no longer holds the claim, and the next claim or search is answered by the other hosts.
func (h *Host) claimLost(ctx context.Context, l lookup, o sesamedrift.Outcome) bool {
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var lost *claimer.LostError
	return errors.As(h.claims.Finish(claimCtx, h.now(), l.identity(), o), &lost)
}

// isUnrecorded reports whether an outcome of recordedOutcome means that none is recorded.
func isUnrecorded(o sesamedrift.Outcome) bool {
	return o.Status == sesamedrift.Unknown && o.Reason == errNoOutcome.Error()
}

// recordedOutcome returns the recorded outcome of a submission that has just ended. If no majority
// has one, the outcome is unknown with the reason errNoOutcome.
func (h *Host) recordedOutcome(ctx context.Context, l lookup) (sesamedrift.Outcome, *Error) {
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	d, err := h.claims.Find(claimCtx, h.now(), l.identity(), l.Key.Created)
	if err != nil || d.Status != claimer.Recorded {
		return unknownOutcome(l.Key, errNoOutcome.Error()), nil
	}
	o := d.Outcome
	o.Key = l.Key.String()
	return o, nil
}

func (h *Host) findLocal(ctx context.Context, l lookup) (sesamedrift.Outcome, *Error) {
	j := h.addWaiter(l.identity())
	if j == nil {
		return sesamedrift.Outcome{}, notFound("the submission does not run here")
	}
	select {
	case <-j.claimed:
	case <-ctx.Done():
	}
	if !j.grantedHere() {
		h.removeWaiter(j)
		return sesamedrift.Outcome{}, notCoordinator()
	}
	return h.wait(ctx, j)
}

// join waits for the outcome of a job that another host coordinates. The error is that of findAt;
// the response then has the outcome "unknown".
func (h *Host) join(j *job, m leaser.Member) (response, error) {
	ctx, cancel := context.WithDeadline(context.Background(), j.deadline.Add(answerMargin))
	defer cancel()
	stop := context.AfterFunc(j.ctx, cancel)
	defer stop()
	l := lookup{
		Key:       j.sub.Key,
		Try:       j.try,
		ReleaseID: uuid.NewString(),
	}
	o, e, err := h.findAt(ctx, m, l)
	if o.Status == sesamedrift.Unknown && o.Digest == "" {
		// An outcome that was looked up by key alone has no digest of the submission.
		o.Digest = j.digest
	}
	return toResponse(o, e), err
}

// addWaiter counts one more waiting caller of the job with the identity and returns the job. It
// returns nil if this host has no such job.
func (h *Host) addWaiter(identity string) *job {
	var j *job
	err := h.dispatcher.call(func(time.Time) {
		if j = h.dispatcher.jobs[identity]; j != nil {
			j.waiters.Add(1)
		}
	})
	if err != nil {
		return nil
	}
	return j
}

// cancelByKey cancels a submission on behalf of its caller, in the home domain of its key.
func (h *Host) cancelByKey(ctx context.Context, key sesamedrift.Key, try int) *Error {
	home, e := h.homeDomain(key)
	if e != nil {
		return e
	}
	l := lookup{
		Key: key,
		Try: try,
	}
	if home == h.cfg.Settings.Domain {
		return h.cancelAtHome(ctx, l)
	}
	reply, err := h.callDomain(ctx, domainCall{
		domain:   home,
		key:      key,
		deadline: h.now().Add(claimTimeout),
		kind:     messenger.KindCancel,
		in:       l,
	})
	if err != nil {
		return notReady("the home domain " + home + " could not be asked: " + err.Error())
	}
	return reply.Error
}

func (h *Host) cancelAtHome(ctx context.Context, l lookup) *Error {
	if h.cancelLocal(l.identity()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	d, err := h.claims.Find(ctx, h.now(), l.identity(), l.Key.Created)
	switch {
	case err != nil:
		return notReady("the claim could not be read: " + err.Error())
	case d.Status == claimer.Recorded:
		return nil
	case d.Status != claimer.InProgress || d.Coordinator.Host == h.cfg.Settings.Host:
		return notFound("no running submission has this key")
	}
	l.AtCoordinator = true
	reply, err := callPeer[response](ctx, h, d.Coordinator.Host, messenger.KindCancel, l)
	if err != nil {
		return notReady("the host that runs the submission could not be asked: " + err.Error())
	}
	return reply.Error
}

// cancelLocal cancels a job of this host and reports whether there is one. A job that has ended but
// is not yet dropped stays as it is.
func (h *Host) cancelLocal(identity string) bool {
	found := false
	err := h.dispatcher.call(func(now time.Time) {
		if j := h.dispatcher.jobs[identity]; j != nil {
			found = true
			h.dispatcher.conclude(now, j, sesamedrift.Cancelled, sesamedrift.NoTask, "cancelled by the caller")
		}
	})
	return err == nil && found
}

// homeDomain returns the home domain of a key, or an error if it is none of the failure domains that
// domains returns.
func (h *Host) homeDomain(key sesamedrift.Key) (string, *Error) {
	domains := h.domains()
	home := key.HomeDomain(domains)
	for _, d := range domains {
		if d == home {
			return home, nil
		}
	}
	return "", notFound("the key " + key.String() + " has no home among the failure domains")
}

func unknownOutcome(key sesamedrift.Key, reason string) sesamedrift.Outcome {
	return sesamedrift.Outcome{
		Key:    key.String(),
		Status: sesamedrift.Unknown,
		Reason: reason,
		Task:   sesamedrift.NoTask,
	}
}

func toResponse(o sesamedrift.Outcome, e *Error) response {
	if e != nil {
		return response{Error: e}
	}
	return response{Outcome: &o}
}

func fromResponse(r response) (sesamedrift.Outcome, *Error) {
	if r.Error != nil || r.Outcome == nil {
		if r.Error == nil {
			r.Error = notReady("the peer's reply has no outcome")
		}
		return sesamedrift.Outcome{}, r.Error
	}
	return *r.Outcome, nil
}
