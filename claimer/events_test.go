package claimer

import (
	"fmt"
	"slices"
	"time"
)

// events calls add with everything that can happen next.
func (w *world) events(add func(event string, do func(n *world))) {
	for i, c := range w.copies {
		h := w.hosts[w.s.copies[i]]
		if c.op == nil && c.claimed && !c.ended && h.alive {
			add(fmt.Sprintf("host %d marks copy %d", w.s.copies[i], i), func(n *world) { n.again(i) })
			add(fmt.Sprintf("host %d refuses copy %d", w.s.copies[i], i), func(n *world) { n.refuse(i) })
		}
		if c.op == nil && !c.claimed && !c.ended && h.alive && !w.busy(i) && (i == 0 || w.copies[0].op != nil || w.copies[0].ended || !w.hosts[w.s.copies[0]].alive) {
			add(fmt.Sprintf("host %d gets copy %d", w.s.copies[i], i), func(n *world) { n.begin(i) })
		}
	}
	for i, m := range w.messages {
		add("delivered "+m.text, func(n *world) {
			n.messages = slices.Delete(n.messages, i, i+1)
			n.deliver(m)
		})
		dead := !w.hosts[m.to].alive
		if m.copy >= 0 && w.wanted(m) && (w.losses > 0 || dead) {
			// The call ends without a reply, but the request may still arrive.
			add("no reply to "+m.text, func(n *world) {
				if m.reply != nil || dead {
					n.messages = slices.Delete(n.messages, i, i+1)
				}
				if !dead {
					n.losses--
				}
				n.advance(m.copy, func(op *operation) { op.lose(m.step, n.position(m), false) })
			})
		}
	}
	for _, i := range w.s.next {
		h := w.hosts[i]
		if h.alive && h.view == 1 {
			add(fmt.Sprintf("host %d installs the view", i), func(n *world) { n.install(i) })
		}
		if h.alive && h.reads != nil {
			add(fmt.Sprintf("host %d tries to open without a majority", i), func(n *world) { n.sync(i, start.Add(time.Millisecond)) })
		}
	}
	if w.s.crash && w.hosts[0].alive {
		add("host 0 dies", func(n *world) { n.die() })
	}
}

// busy reports whether the host of the copy is claiming the key for another one.
func (w *world) busy(i int) bool {
	for j, c := range w.copies {
		if j != i && w.s.copies[j] == w.s.copies[i] && c.op != nil && !c.claimed {
			return true
		}
	}
	return false
}

func (w *world) die() {
	w.host(0).alive = false
	for i, host := range w.s.copies {
		if host == 0 {
			w.copies[i].op = nil
			w.copies[i].ended = true
		}
	}
}
