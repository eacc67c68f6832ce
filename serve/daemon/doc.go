// Package daemon is the process of one entry VM: it turns bytes into events
// for the decision code of decide/engine, and the effects it states into
// bytes. It decides nothing itself.
//
// All events pass through a Core, which steps the engine one event at a time
// and carries out the effects in order. Nothing on that path blocks: answers
// of targets, timers and operators' changes come back as further events.
package daemon
