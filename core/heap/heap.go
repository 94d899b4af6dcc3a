package heap

// Item is an element that stores its own position in the heap.
type Item interface {
	// SetPosition stores the position of the element; -1 means that it is in no heap.
	SetPosition(i int)
	// Position returns the stored position.
	Position() int
}

// Heap is a binary min-heap: its smallest element by the given order is at the top.
type Heap[T Item] struct {
	items []T
	less  func(a, b T) bool
}

// New returns an empty heap that is ordered by less.
func New[T Item](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{less: less}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int {
	return len(h.items)
}

// Top returns the smallest element without removing it. The heap must not be empty.
func (h *Heap[T]) Top() T {
	return h.items[0]
}

// LastLeaf returns the last leaf. It is not the smallest element unless it is equal to the smallest or is the only element.
func (h *Heap[T]) LastLeaf() T {
	return h.items[len(h.items)-1]
}

// Push adds an element.
func (h *Heap[T]) Push(x T) {
	x.SetPosition(len(h.items))
	h.items = append(h.items, x)
	h.siftUp(len(h.items) - 1)
}

// Remove removes an element, which must be in the heap.
func (h *Heap[T]) Remove(x T) {
	i := x.Position()
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	x.SetPosition(-1)
	if i < last {
		h.Fix(h.items[i])
	}
}

// Fix restores the heap order after the given element has changed.
func (h *Heap[T]) Fix(x T) {
	i := x.Position()
	if !h.siftDown(i) {
		h.siftUp(i)
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].SetPosition(i)
	h.items[j].SetPosition(j)
}

func (h *Heap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[T]) siftDown(i int) bool {
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
