package courier

import (
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the user and system time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchange measures the processor time of one message and of its share of an acknowledgement,
// both sides together.
func BenchmarkExchange(b *testing.B) {
	x, y := newTestHost(b, 1), newTestHost(b, 2)
	defer x.close()
	defer y.close()
	x.courier.Connect(y.listener.Address())
	to := y.listener.Address()
	for !x.courier.Post(to, Message{Body: []byte("first")}) {
		time.Sleep(time.Millisecond)
	}
	for y.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	arrived := make(chan struct{}, 1)
	y.mu.Lock()
	y.arrived = arrived
	y.mu.Unlock()
	began := cpuTime(b)
	for b.Loop() {
		x.courier.Post(to, Message{Body: make([]byte, 300)})
		<-arrived
	}
	b.ReportMetric(float64(cpuTime(b)-began)/float64(b.N)/1000, "cpu-us/op")
}
