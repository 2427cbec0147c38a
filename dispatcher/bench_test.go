package dispatcher

import (
	"testing"
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/messenger"
)

// BenchmarkMessage measures the processor time to encode and decode the messages of which each job
// sends some.
func BenchmarkMessage(b *testing.B) {
	run := sesamedrift.Run{
		Task: sesamedrift.TaskID{
			Job:   "5c0e7a21d94b36f8",
			Index: 3,
		},
		Number: 1,
	}
	demand := sesamedrift.Resources{
		CPU:    6800,
		Memory: 64,
	}
	request := placementRequest{
		Job:       run.Task.Job,
		Queue:     "r-3hwrr6x",
		Service:   "huvo11a",
		Slack:     1.6,
		Target:    60 * time.Millisecond,
		Age:       time.Millisecond,
		Remaining: time.Second,
	}
	for range 4 {
		request.Tasks = append(request.Tasks, requestedTask{
			Run:      run,
			Demand:   demand,
			Estimate: 51 * time.Millisecond,
		})
	}
	placed := placement{
		Job: run.Task.Job,
		Places: []placedRun{{
			Run:         run,
			Upstream:    "i-7f3a91c2d0",
			Leaseholder: "10.1.0.13:7720",
		}},
	}
	ended := freed{
		Upstream: "i-7f3a91c2d0",
		Run:      run,
		Result:   leaseholder.Done,
		Duration: 51 * time.Millisecond,
	}
	b.Run("placement-request", func(b *testing.B) { benchmarkMessage(b, request) })
	b.Run("placement", func(b *testing.B) { benchmarkMessage(b, placed) })
	b.Run("freed", func(b *testing.B) { benchmarkMessage(b, ended) })
}

func benchmarkMessage[M any](b *testing.B, m M) {
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		body, err := messenger.Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		size = len(body)
		var decoded M
		if err := messenger.Decode(body, &decoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "B/message")
}
