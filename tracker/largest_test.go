package tracker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/leaseholder"
)

// The limits of package platform, of the steps of a job and of the entries of all its dependency lists in the largest body.
const (
	maxSteps        = 64
	maxDependencies = 256 << 10 / len("0,")
)

// layeredSteps returns steps in layers of a width, each of which depends on all steps of the layer before.
func layeredSteps(count, width int) []Step {
	steps := make([]Step, count)
	for s := range steps {
		steps[s] = Step{
			TaskCount: 1,
			Estimate:  50 * time.Millisecond,
		}
		if layer := s / width; layer > 0 {
			for i := range width {
				steps[s].DependsOn = append(steps[s].DependsOn, (layer-1)*width+i)
			}
		}
	}
	return steps
}

// denseSteps returns steps each of which depends on all earlier ones.
func denseSteps(count int) []Step {
	steps := make([]Step, count)
	for s := range steps {
		steps[s] = Step{
			TaskCount: 1,
			Estimate:  50 * time.Millisecond,
		}
		for earlier := range s {
			steps[s].DependsOn = append(steps[s].DependsOn, earlier)
		}
	}
	return steps
}

// repeatedSteps returns a chain of steps whose last one has the most tasks and names the first step as often as the
// largest body allows.
func repeatedSteps() []Step {
	steps := layeredSteps(maxSteps, 1)
	last := &steps[maxSteps-1]
	last.TaskCount = sesamedrift.MaxTasks - (maxSteps - 1)
	last.DependsOn = append(make([]int, maxDependencies), maxSteps-2)
	return steps
}

var largestJobs = []struct {
	name  string
	steps []Step
	// chain is the number of steps of the longest chain.
	chain int
}{
	{
		name:  "layers",
		steps: layeredSteps(maxSteps-1, 3),
		chain: 21,
	},
	{
		name:  "dense",
		steps: denseSteps(maxSteps),
		chain: maxSteps,
	},
	{
		name:  "repeated",
		steps: repeatedSteps(),
		chain: maxSteps,
	},
}

// Guards against a job that stops its entry host: the remaining time of a step is computed once for each path through
// the steps that follow, of which there can be 2^62.
func TestRemainingTimeOfLargestJobs(t *testing.T) {
	for _, test := range largestJobs {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			tr := newJob(1, test.steps...)
			g.Expect(tr.RemainingTime(0)).To(Equal(time.Duration(test.chain-1) * 50 * time.Millisecond))
		})
	}
}

// Guards against a remaining time that differs from the longest chain of steps that depend on the step.
func TestRemainingTimeIsLongestChain(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			steps := make([]Step, 2+rng.IntN(8))
			for s := range steps {
				steps[s].TaskCount = 1
				steps[s].Estimate = time.Duration(rng.IntN(1000)) * time.Millisecond
				for earlier := range s {
					for range rng.IntN(3) {
						steps[s].DependsOn = append(steps[s].DependsOn, earlier)
					}
				}
				rng.Shuffle(len(steps[s].DependsOn), func(i, j int) {
					d := steps[s].DependsOn
					d[i], d[j] = d[j], d[i]
				})
			}
			tr := newJob(1, steps...)
			for s := range steps {
				g.Expect(tr.RemainingTime(s)).To(Equal(longestChain(steps, s)))
			}
		})
	}
}

// longestChain returns the run time of the longest chain of steps that depend on a step, by a walk over all paths.
func longestChain(steps []Step, step int) time.Duration {
	var longest time.Duration
	for later := range steps {
		for _, earlier := range steps[later].DependsOn {
			if earlier == step {
				longest = max(longest, steps[later].Estimate+longestChain(steps, later))
			}
		}
	}
	return longest
}

// playJob places and ends all tasks of a job in order and asks for the remaining time of each pending task.
func playJob(steps []Step) Outcome {
	tr := newJob(1, steps...)
	for pending := tr.PendingTasks(); len(pending) > 0; pending = tr.PendingTasks() {
		for _, p := range pending {
			tr.RemainingTime(p.Step)
			tr.Place(p.Run, testLocation)
		}
		for _, p := range pending {
			tr.RunEnded(p.Run, leaseholder.Done, "")
		}
	}
	return outcome(tr)
}

// BenchmarkLargestJob measures the tracker's part of the largest jobs that are accepted, from their arrival to their end.
func BenchmarkLargestJob(b *testing.B) {
	wide := []Step{{TaskCount: sesamedrift.MaxTasks}}
	b.Run("wide", func(b *testing.B) { benchmarkJob(b, wide) })
	for _, job := range largestJobs {
		b.Run(job.name, func(b *testing.B) { benchmarkJob(b, job.steps) })
	}
}

func benchmarkJob(b *testing.B, steps []Step) {
	for b.Loop() {
		if o := playJob(steps); o != Complete {
			b.Fatal(o)
		}
	}
}
