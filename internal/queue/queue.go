// Package queue holds an intrusive doubly linked list. A connection stands in
// several orders at once (by age, by client, by server), and each of them must
// give it up from the middle in constant time and without an allocation for
// each request, which container/list does not offer.
package queue

// Node is an element's place in one List. It is embedded in the element, once
// for each list that the element may stand in, and its zero value is in none.
type Node[T any] struct {
	Value      T // set once, by the element's owner
	prev, next *Node[T]
	list       *List[T]
}

// Linked says whether the node stands in a list.
func (n *Node[T]) Linked() bool { return n.list != nil }

// Remove takes the node out of the list it stands in, if any.
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

// Next returns the node behind this one, or nil.
func (n *Node[T]) Next() *Node[T] { return n.next }

// List is a queue of nodes. Its zero value is empty and ready for use; it must
// not be copied once a node stands in it.
type List[T any] struct {
	front, back *Node[T]
	len         int
}

// Len returns how many nodes stand in the list.
func (l *List[T]) Len() int { return l.len }

// Front returns the first node, or nil.
func (l *List[T]) Front() *Node[T] { return l.front }

// Back returns the last node, or nil.
func (l *List[T]) Back() *Node[T] { return l.back }

// PushBack puts the node at the back, taking it out of the list it stood in before.
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
