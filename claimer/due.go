package claimer

import "time"

// due orders keys, or what stands for them, by the second of their creation, so that the
// cost of a look for old keys does not depend on how many keys there are.
type due[T any] map[int64][]T

func (d due[T]) add(created time.Time, v T) {
	s := created.Unix()
	d[s] = append(d[s], v)
}

// take removes the keys whose second of creation ended at the time or before, and passes
// them to f.
func (d due[T]) take(until time.Time, f func(v T, second int64)) {
	for s, all := range d {
		if s >= until.Unix() {
			continue
		}
		for _, v := range all {
			f(v, s)
		}
		delete(d, s)
	}
}
