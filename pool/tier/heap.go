package tier

// heap is a binary heap that tells each element its index, so that any element
// can be moved or removed in O(log n).
type heap[E any] struct {
	elements []E
	less     func(a, b E) bool
	setIndex func(e E, index int)
}

// notInHeap is the index of an element that is in no heap.
const notInHeap = -1

func (h *heap[E]) len() int { return len(h.elements) }

func (h *heap[E]) push(e E) {
	h.elements = append(h.elements, e)
	h.setIndex(e, len(h.elements)-1)
	h.up(len(h.elements) - 1)
}

// remove removes the element at index i.
func (h *heap[E]) remove(i int) {
	last := len(h.elements) - 1
	removed := h.elements[i]
	h.swap(i, last)
	var zero E
	h.elements[last] = zero
	h.elements = h.elements[:last]
	h.setIndex(removed, notInHeap)
	if i < last {
		h.fix(i)
	}
}

// fix restores the heap order after the key of the element at index i changed.
func (h *heap[E]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[E]) swap(i, j int) {
	if i == j {
		return
	}
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	h.setIndex(h.elements[i], i)
	h.setIndex(h.elements[j], j)
}

func (h *heap[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.elements[i], h.elements[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down reports whether the element moved.
func (h *heap[E]) down(i int) bool {
	initial := i
	for {
		child := 2*i + 1
		if child >= len(h.elements) {
			break
		}
		if right := child + 1; right < len(h.elements) && h.less(h.elements[right], h.elements[child]) {
			child = right
		}
		if !h.less(h.elements[child], h.elements[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > initial
}
