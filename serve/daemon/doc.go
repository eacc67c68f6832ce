// Package daemon is the process of one entry VM. It translates input from
// sockets and timers into events for the reducer of decide/engine, and the
// effects that the reducer returns into network operations. It makes no
// decisions itself.
//
// All events pass through a Core, which steps the engine one event at a time
// and executes the effects in order. Nothing on that path blocks: answers of
// targets, timers and operators' changes are posted as further events.
package daemon
