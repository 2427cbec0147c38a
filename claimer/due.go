package claimer

import "time"

// due orders keys by the second of their creation, so that the cost of a look for old
// keys does not depend on how many keys there are.
type due struct {
	seconds map[int64][]datedKey
}

type datedKey struct {
	key     string
	created time.Time
}

func (d *due) add(created time.Time, key string) {
	if d.seconds == nil {
		d.seconds = map[int64][]datedKey{}
	}
	s := created.Unix()
	d.seconds[s] = append(d.seconds[s], datedKey{
		key:     key,
		created: created,
	})
}

// take removes the keys that were created before the time and passes them to f.
func (d *due) take(before time.Time, f func(key string, created time.Time)) {
	for s, keys := range d.seconds {
		if s > before.Unix() {
			continue
		}
		var rest []datedKey
		for _, k := range keys {
			if k.created.Before(before) {
				f(k.key, k.created)
			} else {
				rest = append(rest, k)
			}
		}
		if len(rest) > 0 {
			d.seconds[s] = rest
		} else {
			delete(d.seconds, s)
		}
	}
}
