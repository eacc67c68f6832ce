// Package engine is the one reducer of an entry VM: every event of the daemon
// goes through Step, which changes the state and states the effects as data.
//
// The engine composes the packages that each decide one matter and owns what
// concerns more than one of them: a request's one-time token is admitted
// before the request is dispatched and settled with the request's final
// effect; a new configuration changes services, shifts and look-ups together;
// a change of membership changes who shares a domain's targets, who may be
// forwarded to and who is answered to look-ups.
//
// Step reads no clock, opens no connection and starts no goroutine. It must
// not be called from two goroutines at once; the daemon serialises it.
package engine
