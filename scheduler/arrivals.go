package scheduler

import (
	"math"
	"time"
)

const (
	// arrivalWindow is the interval in which arrivals are counted. Most short tasks run for
	// 50 ms to 1 s, so few slots become free within one window.
	arrivalWindow = 200 * time.Millisecond
	// arrivalSmoothing is the weight of the latest window in the moving averages; 0.02 averages
	// over about 10 s.
	arrivalSmoothing = 0.02
	// reserveDeviations is the number of standard deviations of the arrivals in a window that the
	// reserved slots cover. Three cover 99.9 % of the windows if arrivals are independent.
	reserveDeviations = 3
)

// arrivals holds moving averages of the number of tasks that arrive in a window, and of its square.
type arrivals struct {
	window     int64   // number of the current window since the Unix epoch
	count      float64 // arrivals in the current window
	mean       float64 // of the counts of earlier windows
	meanSquare float64 // of the squares of these counts
}

func (a *arrivals) add(now time.Time, n int) {
	a.advance(now)
	a.count += float64(n)
}

func (a *arrivals) advance(now time.Time) {
	w := now.UnixNano() / int64(arrivalWindow)
	elapsed := w - a.window
	if elapsed <= 0 {
		return
	}
	a.mean += arrivalSmoothing * (a.count - a.mean)
	a.meanSquare += arrivalSmoothing * (a.count*a.count - a.meanSquare)
	// All windows between a.window and w were empty.
	decay := math.Pow(1-arrivalSmoothing, float64(elapsed-1))
	a.mean *= decay
	a.meanSquare *= decay
	a.count = 0
	a.window = w
}

// reservedSlots returns the number of slots to keep free for arriving short tasks, at least one.
func (a *arrivals) reservedSlots(now time.Time) int {
	a.advance(now)
	deviation := math.Sqrt(max(0, a.meanSquare-a.mean*a.mean))
	return max(1, int(math.Ceil(reserveDeviations*deviation)))
}
