package fairshare

// flowHeap is a binary heap of flows by a tag. A flow is in one heap at most and knows its index
// there.
type flowHeap[K comparable] struct {
	items []*Flow[K]
	tags  []float64
	swaps int // so far
}

func (h *flowHeap[K]) has(f *Flow[K]) bool {
	return f.index >= 0 && f.index < len(h.items) && h.items[f.index] == f
}

func (h *flowHeap[K]) push(f *Flow[K], tag float64) {
	f.index = len(h.items)
	h.items, h.tags = append(h.items, f), append(h.tags, tag)
	h.up(f.index)
}

// remove removes a flow if it is in the heap.
func (h *flowHeap[K]) remove(f *Flow[K]) {
	if !h.has(f) {
		return
	}
	i, last := f.index, len(h.items)-1
	h.swap(i, last)
	h.items[last] = nil
	h.items, h.tags = h.items[:last], h.tags[:last]
	f.index = -1
	if i < last && !h.down(i) {
		h.up(i)
	}
}

func (h *flowHeap[K]) swap(i, j int) {
	h.swaps++
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.tags[i], h.tags[j] = h.tags[j], h.tags[i]
	h.items[i].index, h.items[j].index = i, j
}

func (h *flowHeap[K]) up(i int) {
	for parent := (i - 1) / 2; i > 0 && h.tags[i] < h.tags[parent]; parent = (i - 1) / 2 {
		h.swap(i, parent)
		i = parent
	}
}

func (h *flowHeap[K]) down(i int) (moved bool) {
	for start := i; ; moved = i != start {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if child+1 < len(h.items) && h.tags[child+1] < h.tags[child] {
			child++
		}
		if h.tags[child] >= h.tags[i] {
			return moved
		}
		h.swap(i, child)
		i = child
	}
}
