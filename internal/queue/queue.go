// Package queue provides an intrusive doubly linked list. A connection is in several lists at once (by
// age, by client, by server), and each of them has to remove it from the middle in constant time and
// without an allocation for each request, which container/list does not offer.
package queue

// Node links an element into one List. It is a field of the element, once for each list that the
// element may be in. Its zero value is in no list.
type Node[T any] struct {
	Value      T // set once by the element's owner
	prev, next *Node[T]
	list       *List[T]
}

// Linked says whether the node is in a list.
func (n *Node[T]) Linked() bool { return n.list != nil }

// Remove removes the node from its list, if it is in one.
func (n *Node[T]) Remove() {
	l := n.list
	if l == nil {
		return
	}
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.front = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.back = n.prev
	}
	n.prev, n.next, n.list = nil, nil, nil
	l.len--
}

// Next returns the node after this one, or nil.
func (n *Node[T]) Next() *Node[T] { return n.next }

// List is a list of nodes. Its zero value is empty and ready for use. It must not be copied while it
// has nodes.
type List[T any] struct {
	front, back *Node[T]
	len         int
}

// Len returns the number of nodes.
func (l *List[T]) Len() int { return l.len }

// Front returns the first node, or nil.
func (l *List[T]) Front() *Node[T] { return l.front }

// Back returns the last node, or nil.
func (l *List[T]) Back() *Node[T] { return l.back }

// PushBack adds the node at the back, after removing it from the list that it was in.
func (l *List[T]) PushBack(n *Node[T]) {
	n.Remove()
	n.list, n.prev = l, l.back
	if l.back != nil {
		l.back.next = n
	} else {
		l.front = n
	}
	l.back = n
	l.len++
}
