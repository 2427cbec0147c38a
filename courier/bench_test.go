package courier

import (
	"syscall"
	"testing"
	"time"
)

// processorTime returns what this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchange measures the processor time of a batch with one message and its answer, of
// both sides together.
func BenchmarkExchange(b *testing.B) {
	x, y := newNode(b, 1), newNode(b, 2)
	defer x.close()
	defer y.close()
	x.courier.Connect(y.listener.Address())
	to := y.listener.Address()
	for !x.courier.Post(to, Message{Body: []byte("first")}) {
		time.Sleep(time.Millisecond)
	}
	began := processorTime(b)
	n := 1
	for b.Loop() {
		x.courier.Post(to, Message{Body: make([]byte, 300)})
		for n++; y.count() < n; {
			time.Sleep(20 * time.Microsecond)
		}
	}
	b.ReportMetric(float64(processorTime(b)-began)/float64(b.N)/1000, "cpu-us/op")
}
