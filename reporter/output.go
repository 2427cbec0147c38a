package reporter

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift/aligner"
)

const (
	// maxQueuedLines is the largest number of lines that wait to be written.
	maxQueuedLines = 4096
	// maxEventLinesPerSecond is the largest number of lines per event that are written in one
	// second. A host that handles about twenty jobs a second logs two lines for each.
	maxEventLinesPerSecond = 300
	// flushInterval is the time between two writes; all lines of the interval share one write.
	flushInterval = 100 * time.Millisecond
	// flushBytes is the size of a batch, in bytes, that is written before the interval ends.
	flushBytes = 32 << 10
	// dropReportInterval is the shortest time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter writes log lines and never blocks a caller: lines are put into a bounded queue, and
// dropped if it is full or if one event is logged too often. The numbers of dropped lines are
// logged at most once a second, as LinesLeftOut. It is safe for concurrent use.
type AsyncWriter struct {
	out      io.Writer
	lines    chan []byte
	closing  chan struct{}
	finished chan struct{}
	once     sync.Once

	mu              sync.Mutex
	countedSecond   int64
	linesByEvent    map[int64]int // lines in the second countedSecond
	dropped         map[int64]int // by event; 0 counts lines for which the queue was full
	dropsReportedAt time.Time
}

// NewAsyncWriter returns an AsyncWriter that writes to out from its own goroutine until Close is
// called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	o := &AsyncWriter{
		out:          out,
		lines:        make(chan []byte, maxQueuedLines),
		closing:      make(chan struct{}),
		finished:     make(chan struct{}),
		linesByEvent: map[int64]int{},
		dropped:      map[int64]int{},
	}
	go o.writeLoop()
	return o
}

// Logger returns a logger that writes JSON lines and limits the lines of each event.
func (o *AsyncWriter) Logger() *slog.Logger {
	return slog.New(&rateLimitHandler{
		next:   slog.NewJSONHandler(o, nil),
		writer: o,
	})
}

// Write queues a copy of one line, or drops it if the queue is full. The error is always nil.
func (o *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.mu.Lock()
		o.dropped[0]++
		o.mu.Unlock()
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. It may be called more than once.
func (o *AsyncWriter) Close() {
	o.once.Do(func() { close(o.closing) })
	<-o.finished
}

// writeLoop writes the queued lines in batches until Close is called. Its timer runs only while lines
// wait.
func (o *AsyncWriter) writeLoop() {
	defer close(o.finished)
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	var batch []byte
	flush := func() {
		if len(batch) > 0 {
			// There is no other output to which a failed write could be reported.
			_, _ = o.out.Write(batch)
			batch = batch[:0]
		}
	}
	for {
		select {
		case line := <-o.lines:
			if len(batch) == 0 {
				timer.Reset(aligner.Until(time.Now(), flushInterval))
			}
			if batch = append(batch, line...); len(batch) >= flushBytes {
				flush()
			}
		case <-timer.C:
			batch = append(batch, o.dropReport(time.Now(), dropReportInterval)...)
			flush()
			if o.hasDropped() {
				timer.Reset(dropReportInterval)
			}
		case <-o.closing:
			for len(o.lines) > 0 {
				batch = append(batch, <-o.lines...)
			}
			batch = append(batch, o.dropReport(time.Now(), 0)...)
			flush()
			return
		}
	}
}

// hasDropped reports whether lines were dropped since the last report.
func (o *AsyncWriter) hasDropped() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.dropped) > 0
}

// allow counts a line of an event and reports whether the line may be written.
func (o *AsyncWriter) allow(now time.Time, event int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if second := now.Unix(); second != o.countedSecond {
		o.countedSecond = second
		clear(o.linesByEvent)
	}
	if o.linesByEvent[event] >= maxEventLinesPerSecond {
		o.dropped[event]++
		return false
	}
	o.linesByEvent[event]++
	return true
}

// dropReport returns a line for each event of which lines were dropped since the last report. It
// returns nil if none were dropped or if the last report is less than minInterval old.
func (o *AsyncWriter) dropReport(now time.Time, minInterval time.Duration) []byte {
	o.mu.Lock()
	if len(o.dropped) == 0 || now.Sub(o.dropsReportedAt) < minInterval {
		o.mu.Unlock()
		return nil
	}
	o.dropsReportedAt = now
	dropped := o.dropped
	o.dropped = map[int64]int{}
	o.mu.Unlock()
	var lines bytes.Buffer
	handler := slog.NewJSONHandler(&lines, nil)
	for _, event := range slices.Sorted(maps.Keys(dropped)) {
		r := slog.NewRecord(now, LinesLeftOut.Level, LinesLeftOut.Name, 0)
		r.AddAttrs(slog.Int("event", LinesLeftOut.ID),
			slog.Group("left-out", slog.Int64("of-event", event), slog.Int("lines", dropped[event])))
		// Writing to a buffer never fails.
		_ = handler.Handle(context.Background(), r)
	}
	return lines.Bytes()
}

// rateLimitHandler drops records of an event above maxEventLinesPerSecond.
type rateLimitHandler struct {
	next   slog.Handler
	writer *AsyncWriter
}

// Enabled reports whether the next handler handles records of the level.
func (h *rateLimitHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle passes the record to the next handler, or drops it if the limit of its event is
// reached. Records without an event number are not limited.
func (h *rateLimitHandler) Handle(ctx context.Context, r slog.Record) error {
	event := int64(0)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "event" {
			event = a.Value.Int64()
			return false
		}
		return true
	})
	if event != 0 && !h.writer.allow(r.Time, event) {
		return nil
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs returns a handler that adds the attributes and shares the limits of h.
func (h *rateLimitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitHandler{
		next:   h.next.WithAttrs(attrs),
		writer: h.writer,
	}
}

// WithGroup returns a handler that puts attributes into the group and shares the limits of h.
func (h *rateLimitHandler) WithGroup(name string) slog.Handler {
	return &rateLimitHandler{
		next:   h.next.WithGroup(name),
		writer: h.writer,
	}
}
