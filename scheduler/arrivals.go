package scheduler

import (
	"math"
	"time"
)

const (
	// arrivalWindow is the time over which arrivals are counted. Most short tasks run for
	// 50 ms to 1 s, so that few slots become free by themselves within a window.
	arrivalWindow = 200 * time.Millisecond
	// arrivalDecay is the weight of the newest window; 0.02 averages over about 10 s.
	arrivalDecay = 0.02
	// reserveDeviations is the number of standard deviations that the reserve covers.
	// Three cover 99.9 % of the windows if arrivals are independent.
	reserveDeviations = 3
)

// arrivals follows how much the number of arriving tasks varies from window to window.
type arrivals struct {
	window int64   // number of the current window
	count  float64 // arrivals in the current window
	mean   float64
	square float64 // mean of the squares
}

func (a *arrivals) add(now time.Time, n int) {
	a.advance(now)
	a.count += float64(n)
}

func (a *arrivals) advance(now time.Time) {
	w := now.UnixNano() / int64(arrivalWindow)
	passed := w - a.window
	if passed <= 0 {
		return
	}
	a.mean += arrivalDecay * (a.count - a.mean)
	a.square += arrivalDecay * (a.count*a.count - a.square)
	// The other windows that have passed were empty.
	keep := math.Pow(1-arrivalDecay, float64(passed-1))
	a.mean *= keep
	a.square *= keep
	a.count = 0
	a.window = w
}

// reserve returns the number of slots to keep free for arrivals, at least one.
func (a *arrivals) reserve(now time.Time) int {
	a.advance(now)
	deviation := math.Sqrt(max(0, a.square-a.mean*a.mean))
	return max(1, int(math.Ceil(reserveDeviations*deviation)))
}
