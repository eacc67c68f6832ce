// Package hedge decides when an idempotent request that is answered slowly is sent
// to a second target as well, to save time (a hedged request).
//
// A Controller holds the state of one service at one entry VM. It measures the answers
// of the VM's own requests by route and by class of work, and computes from them after
// which delay a send is slow for its class, and how soon a second answer would have to
// come to be of use. It knows nothing of targets: the reducer places the second send.
//
// # Why the extra work is bounded
//
// Every accepted request of the VM earns the limit's fraction of a token, every second
// send costs one token, and at most maxTokens are saved up. The bucket starts empty. So
// in any time the second sends of a VM are at most Limit times its accepted requests plus
// maxTokens, and the limit holds for the sum over any set of VMs without a message
// between them. A restart loses tokens and never creates any.
//
// # Why it doesn't feed on itself
//
// When all targets are slow, all answers are, and the delay follows the measured
// distribution. A second send that a coordinator denied because few slots are free stops
// all further ones of the service for crowdedPause. Requests that are slow by themselves
// are detected by results: if fewer than minWon of the last resultWindow second sends of
// a route were answered first, only one in testInterval is sent, until the share rises.
package hedge
