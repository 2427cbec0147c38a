package claimer

import "time"

// creationIndex indexes keys, or values that represent them, by the Unix second of their
// creation, so that the cost of a search for expired keys does not depend on the number of keys.
type creationIndex[T any] map[int64][]T

func (d creationIndex[T]) add(created time.Time, v T) {
	s := created.Unix()
	d[s] = append(d[s], v)
}

// removeBefore removes the values whose second of creation ended at or before the given time,
// and passes them to f.
func (d creationIndex[T]) removeBefore(until time.Time, f func(v T, second int64)) {
	for s, values := range d {
		if s >= until.Unix() {
			continue
		}
		for _, v := range values {
			f(v, s)
		}
		delete(d, s)
	}
}
