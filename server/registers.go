package server

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/registrar"
	"sesamedrift.example/sesamedrift/replicator"
)

const (
	// registerCallTimeout bounds one message of the quorum protocol, synced write included.
	registerCallTimeout = 2 * time.Second
	// registerChangeTimeout bounds a whole change or majority read, including the calls to further
	// replicas.
	registerChangeTimeout = 5 * time.Second
	// hedgeAfter is the time without an answer after which the request is sent to the next replica as
	// well. It is above the time of a change with its synced writes, so that a change is normally
	// proposed once, and well below the 2 s for which an upstream may be without an owner.
	hedgeAfter = 200 * time.Millisecond
	// journalFolder is the subfolder of the data folder that holds the journal of the registers.
	journalFolder = "registers"
)

// registerCall is one message of the quorum protocol.
type registerCall struct {
	Request registrar.Request `msgpack:"request"`
}

// registerReply is the reply to a registerCall.
type registerReply struct {
	Reply registrar.Reply `msgpack:"reply"`
}

// registerChange requests that a replica propose a change.
type registerChange struct {
	Change registrar.Change `msgpack:"change"`
}

// registerResult is the reply to a registerChange. Message is set if the change is invalid.
type registerResult struct {
	Result  registrar.Result `msgpack:"result"`
	Message string           `msgpack:"message"`
}

// registerRead requests a majority read of a register from a replica or, if History is set, at most
// Limit entries of the replica's audit trail after the version After.
type registerRead struct {
	Register string `msgpack:"register"`
	History  bool   `msgpack:"history"`
	After    uint64 `msgpack:"after"`
	Limit    int    `msgpack:"limit"`
}

// registerEntry is the reply to a registerRead. OK is set if the replica could answer it.
type registerEntry struct {
	Entry   registrar.Entry        `msgpack:"entry"`
	History []registrar.AuditEntry `msgpack:"history"`
	OK      bool                   `msgpack:"ok"`
}

// errNoReplica is returned by a host that is no replica or does not vote. It is also the cause of a
// failed change or read for which no replica has answered.
var errNoReplica = errors.New("no replica of the registers can be reached")

// errNoMajority is wrapped by the error of a change or read for which no replica returned a final
// answer.
var errNoMajority = errors.New("no majority of the replicas answered")

// openReplica opens the registers of a host that is a replica.
func (h *Host) openReplica() error {
	s := h.cfg.Settings
	replica, err := replicator.Open(replicator.Config{
		ID:               s.Host,
		Replicas:         s.Replicas(),
		Bootstrap:        s.Bootstrap,
		Call:             h.callReplica,
		OnDecided:        h.applyEntry,
		Folder:           filepath.Join(s.DataFolder, journalFolder),
		ConfigureJournal: h.cfg.Journal,
		Log:              h.log,
		Now:              h.now,
	})
	if err != nil {
		return err
	}
	h.replica = replica
	return nil
}

func (h *Host) callReplica(ctx context.Context, replica string, r registrar.Request) (registrar.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, registerCallTimeout)
	defer cancel()
	reply, err := callPeer[registerReply](ctx, h, replica, messenger.KindRegisterStep, registerCall{Request: r})
	return reply.Reply, err
}

func (h *Host) serveRegister(in registerCall) (registerReply, error) {
	if h.replica == nil {
		return registerReply{}, errNoReplica
	}
	return registerReply{Reply: h.replica.Registers().Handle(h.now(), in.Request)}, nil
}

func (h *Host) serveRegisterChange(ctx context.Context, in registerChange) (registerResult, error) {
	if !h.votes() {
		return registerResult{}, errNoReplica
	}
	if !validRegister(in.Change.Register) {
		return registerResult{Message: "there is no register " + in.Change.Register}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, registerChangeTimeout)
	defer cancel()
	result, err := h.replica.Registers().Change(ctx, h.now(), in.Change)
	if err != nil {
		return registerResult{Message: err.Error()}, nil
	}
	return registerResult{Result: result}, nil
}

// validRegister reports whether hosts use registers of this name. Changes of other names are rejected,
// so that a faulty peer cannot fill the journal.
func validRegister(name string) bool {
	return name == evacuator.Register || strings.HasPrefix(name, environmentPrefix) || strings.HasPrefix(name, viewPrefix)
}

func (h *Host) serveRegisterRead(ctx context.Context, in registerRead) (registerEntry, error) {
	if !h.votes() {
		return registerEntry{}, errNoReplica
	}
	ctx, cancel := context.WithTimeout(ctx, registerChangeTimeout)
	defer cancel()
	if in.History {
		return registerEntry{
			History: h.replica.Registers().History(in.Register, in.After, in.Limit),
			OK:      true,
		}, nil
	}
	entry, err := h.replica.Registers().Read(ctx, h.now(), in.Register)
	if err != nil {
		return registerEntry{}, err
	}
	return registerEntry{
		Entry: entry,
		OK:    true,
	}, nil
}

// votes reports whether this host is a voting replica.
func (h *Host) votes() bool {
	return h.replica != nil && h.replica.Votes()
}

// replicas returns the hosts to call for a change or read, in order: this host if it is a voting
// replica, the other replicas of the own failure domain, and those of other domains.
func (h *Host) replicas() []string {
	var sameDomain, otherDomains []string
	for _, p := range h.cfg.Settings.Peers {
		switch {
		case !p.Replica:
		case p.Domain == h.cfg.Settings.Domain:
			sameDomain = append(sameDomain, p.Host)
		default:
			otherDomains = append(otherDomains, p.Host)
		}
	}
	all := slices.Concat(sameDomain, otherDomains)
	if h.votes() {
		all = append([]string{h.cfg.Settings.Host}, all...)
	}
	return all
}

// changeRegister requests a change of a register from one replica after another until one returns a
// final answer. Several replicas may propose the same change, since its identifier ensures that it is
// applied once. The error of a rejected change is the replica's message.
func (h *Host) changeRegister(ctx context.Context, c registrar.Change) (registrar.Result, error) {
	return tryReplicas(ctx, h, func(ctx context.Context, replica string) (registrar.Result, bool, error) {
		var reply registerResult
		var err error
		if replica == h.cfg.Settings.Host {
			reply, err = h.serveRegisterChange(ctx, registerChange{Change: c})
		} else {
			reply, err = callPeer[registerResult](ctx, h, replica, messenger.KindRegisterChange, registerChange{Change: c})
		}
		if err == nil && reply.Message != "" {
			return registrar.Result{}, true, errors.New(reply.Message)
		}
		return reply.Result, err == nil && reply.Result.Status != registrar.Unavailable, err
	})
}

// readRegister returns the newest version of a register by a majority read. The version is 0 if the
// register has none.
func (h *Host) readRegister(ctx context.Context, register string) (registrar.Entry, error) {
	return tryReplicas(ctx, h, func(ctx context.Context, replica string) (registrar.Entry, bool, error) {
		reply, err := h.readAt(ctx, replica, registerRead{Register: register})
		return reply.Entry, reply.OK, err
	})
}

// registerHistory returns at most limit entries of a register's audit trail after the version after.
// They come from the first replica that answers.
func (h *Host) registerHistory(ctx context.Context, register string, after uint64, limit int) ([]registrar.AuditEntry, error) {
	in := registerRead{
		Register: register,
		History:  true,
		After:    after,
		Limit:    limit,
	}
	return tryReplicas(ctx, h, func(ctx context.Context, replica string) ([]registrar.AuditEntry, bool, error) {
		reply, err := h.readAt(ctx, replica, in)
		return reply.History, reply.OK, err
	})
}

func (h *Host) readAt(ctx context.Context, replica string, in registerRead) (registerEntry, error) {
	if replica == h.cfg.Settings.Host {
		return h.serveRegisterRead(ctx, in)
	}
	return callPeer[registerEntry](ctx, h, replica, messenger.KindRegisterRead, in)
}

// tryReplicas calls try for one replica after another until one returns a final answer, which its
// second result reports. If there is no answer within hedgeAfter, it calls the next replica too; the
// earlier calls continue, and their answers still count.
func tryReplicas[Out any](ctx context.Context, h *Host, try func(ctx context.Context, replica string) (Out, bool, error)) (Out, error) {
	type answer struct {
		out   Out
		final bool
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, registerChangeTimeout)
	defer cancel()
	replicas := h.replicas()
	answers := make(chan answer, len(replicas))
	last := answer{err: errNoReplica}
	for tried, pending := 0, 0; tried < len(replicas) || pending > 0; {
		var hedge <-chan time.Time
		if tried < len(replicas) {
			replica := replicas[tried]
			tried++
			pending++
			h.background.Go(func() {
				var a answer
				a.out, a.final, a.err = try(ctx, replica)
				answers <- a
			})
			hedge = time.After(hedgeAfter)
		}
		select {
		case last = <-answers:
			pending--
			if last.final {
				return last.out, last.err
			}
		case <-hedge:
		case <-ctx.Done():
			return last.out, fmt.Errorf("%w: %w", errNoMajority, ctx.Err())
		}
	}
	if last.err == nil {
		return last.out, errNoMajority
	}
	return last.out, fmt.Errorf("%w: %w", errNoMajority, last.err)
}
