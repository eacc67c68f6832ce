// Package queue holds requests that wait for a target.
//
// A FIFO is a list whose links are part of the waiting items, so that queueing
// allocates nothing and the request of a caller that goes away is removed in
// constant time. A Gate bounds what all queues of an entry VM hold together,
// in requests and in body bytes. Deferrable work may fill only a part of the
// gate; the rest is reserved for interactive work, so that a burst of
// submissions can't cause look-ups to be refused.
package queue
