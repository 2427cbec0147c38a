package scheduler

// heap is a binary heap whose items store their index, so that any item can be moved or removed in
// logarithmic time.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// position returns where an item stores its index plus one; zero means that the
	// item is not in the heap.
	position func(T) *int
}

func (h *heap[T]) len() int { return len(h.items) }

// top returns the first item in the order of less. The heap must not be empty.
func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) contains(x T) bool { return *h.position(x) > 0 }

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	*h.position(x) = len(h.items)
	h.up(len(h.items) - 1)
}

// fix restores the heap order after the key of an item in the heap has changed.
func (h *heap[T]) fix(x T) {
	i := *h.position(x) - 1
	if !h.down(i) {
		h.up(i)
	}
}

// remove removes an item. Items that are not in the heap are ignored.
func (h *heap[T]) remove(x T) {
	p := h.position(x)
	i := *p - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	if i != last {
		h.swap(i, last)
	}
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*p = 0
	if i != last && !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i + 1
	*h.position(h.items[j]) = j + 1
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down reports whether the item moved.
func (h *heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
