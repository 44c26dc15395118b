// Package queue provides an intrusive doubly linked list. A connection is in several lists at once (by
// age, by client, by server) and must be removable from the middle of each in constant time. Unlike
// container/list, it does so without an allocation for each request.
package queue

// Node links an element into one List. An element has one Node field for each list that it may be in.
// The zero Node is in no list.
type Node[T any] struct {
	Value      T // the element; set once, before the node is added to a list
	prev, next *Node[T]
	list       *List[T]
}

// Linked reports whether the node is in a list.
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

// List is a list of nodes. The zero List is empty and ready to use. A List must not be copied while it
// contains nodes.
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

// PushBack moves the node to the back of the list, removing it from its current list, if any.
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
