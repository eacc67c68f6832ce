// Package queue holds requests that wait for a target.
//
// A FIFO is a list whose links are part of the waiting items, so that queueing
// allocates nothing and a caller that goes away is removed in constant time.
// A Gate bounds what all queues of an entry VM hold together, in items and in
// body bytes. Deferrable work may fill only a part of the gate: what is left
// is kept for interactive work, so that a burst of submissions can't make
// look-ups be refused.
package queue
