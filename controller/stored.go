package controller

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/journaler"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/reporter"
)

// Control hosts store the last reports of upstreams, so that entry hosts find the upstreams at once after all
// hosts have lost power. Otherwise the capacity would only come back within an interval of heartbeats. A
// stored report says where an upstream was and is marked as such until the upstream reports again. It gives no
// right to the upstream: a leaseholder acquires it, and tasks are placed there only after it has answered.

const (
	// upstreamsFile is the name of the file with the stored reports in the data folder.
	upstreamsFile = "upstreams"
	// storeInterval is the least time between two writes of the reports.
	storeInterval = 200 * time.Millisecond
	// storeRetryInterval is the time after which a failed write is repeated.
	storeRetryInterval = 2 * time.Second
	// storeTimeout bounds how long the report of an upstream that is leaving waits until it is stored. A failed disk
	// must not delay it for longer: other control hosts store it, too.
	storeTimeout = 100 * time.Millisecond
	// storedLifetime is the time from the start of the host after which stored reports that no upstream
	// has confirmed are not stored again. It is several intervals of heartbeats.
	storedLifetime = 10 * time.Second
)

// upstreamStore is the state of writing the reports of upstreams to the disk.
type upstreamStore struct {
	path string
	// wake is signalled when reports have changed, urgent when a report is to be written before the interval ends.
	wake, urgent chan struct{}
	// waiting are closed after the next write. Host.mu guards it.
	waiting []chan struct{}
	// changes counts the changes of the reports, written those of them that are on the disk. Host.mu guards them.
	changes, written uint64
}

func newUpstreamStore(folder string) upstreamStore {
	return upstreamStore{
		path:   filepath.Join(folder, upstreamsFile),
		wake:   make(chan struct{}, 1),
		urgent: make(chan struct{}, 1),
	}
}

// loadUpstreams puts the stored reports into the list. If they cannot be read, the host continues without them: they
// only say where upstreams were.
func (h *Host) loadUpstreams(now time.Time) {
	upstreams, err := readUpstreams(h.stored.path)
	if err != nil {
		reporter.Log(context.Background(), h.log, reporter.ReportsNotRead, "path", h.stored.path, "error", err)
	}
	for _, u := range upstreams {
		h.upstreams.Put(now, u)
	}
}

// readUpstreams returns the stored reports, marked as stored. There are none if the file is missing, as on the first
// start. The error reports a failed read or a damaged file.
func readUpstreams(path string) ([]discoverer.Upstream, error) {
	body, err := journaler.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var upstreams []discoverer.Upstream
	if err := messenger.Decode(body, &upstreams); err != nil {
		return nil, fmt.Errorf("decode reports of upstreams: %w", err)
	}
	for i := range upstreams {
		upstreams[i].Stored = true
	}
	return upstreams, nil
}

// writeUpstreams replaces the stored reports. After a crash the file has the former or the new content.
func writeUpstreams(path string, upstreams []discoverer.Upstream) error {
	body, err := messenger.Encode(upstreams)
	if err != nil {
		return fmt.Errorf("encode reports of upstreams: %w", err)
	}
	return journaler.WriteFile(path, body)
}

// storeSoon has the reports of upstreams written. The caller holds h.mu.
func (h *Host) storeSoon() {
	h.stored.changes++
	signal(h.stored.wake)
}

// storeNow has the reports of upstreams written at once. The result is closed after that. The caller holds h.mu.
func (h *Host) storeNow() <-chan struct{} {
	written := make(chan struct{})
	h.stored.waiting = append(h.stored.waiting, written)
	signal(h.stored.urgent)
	h.storeSoon()
	return written
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// storeUpstreams writes the reports of upstreams after each change and once after storedLifetime, until ctx is done. It repeats a
// failed write.
func (h *Host) storeUpstreams(ctx context.Context) {
	failed := false
	// Reports that no upstream has confirmed are left out from then on.
	expired := time.After(storedLifetime - h.cfg.Now().Sub(h.startedAt))
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.stored.wake:
		case <-expired:
		}
		h.mu.Lock()
		waiting := h.stored.waiting
		h.stored.waiting = nil
		changes := h.stored.changes
		upstreams := upstreamsToStore(h.upstreams.All(), h.cfg.Now().Sub(h.startedAt))
		h.mu.Unlock()
		err := writeUpstreams(h.stored.path, upstreams)
		if err != nil && !failed {
			reporter.Log(ctx, h.log, reporter.ReportsNotStored, "upstreams", len(upstreams), "error", err)
		}
		wait := storeInterval
		if failed = err != nil; failed {
			wait = storeRetryInterval
			signal(h.stored.wake)
		} else {
			h.mu.Lock()
			h.stored.written = changes
			h.mu.Unlock()
		}
		for _, written := range waiting {
			close(written)
		}
		select {
		case <-ctx.Done():
			return
		case <-h.stored.urgent:
		case <-time.After(wait):
		}
	}
}

// upstreamsToStore returns the reports to store: those of upstreams that are not gone and, some time after the start of
// the host, have reported since then. So the reports of upstreams that do not exist any more disappear. Reports
// without an incarnation are not stored, as those of the next incarnation could not be distinguished from them.
func upstreamsToStore(all []discoverer.Upstream, sinceStart time.Duration) []discoverer.Upstream {
	upstreams := make([]discoverer.Upstream, 0, len(all))
	for _, u := range all {
		if u.State != discoverer.Gone && u.Incarnation != 0 && (!u.Stored || sinceStart < storedLifetime) {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}
