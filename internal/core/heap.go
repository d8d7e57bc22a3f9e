package core

// indexedHeap is a binary heap whose items know their index, so that any of
// them can be removed or moved in O(log n).
type indexedHeap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(v T, i int) // i is the new index, -1 when v left the heap
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) min() T { return h.items[0] }

func (h *indexedHeap[T]) push(v T) {
	h.items = append(h.items, v)
	h.setIndex(v, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) remove(i int) {
	last := len(h.items) - 1
	v := h.items[i]
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(v, -1)
	if i < last {
		h.fix(i)
	}
}

func (h *indexedHeap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
