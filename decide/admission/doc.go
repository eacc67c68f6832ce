// Package admission orders the requests of one service that wait for a slot, and predicts
// when a new one would get its slot, so that a request that would wait in vain is refused
// on arrival. It knows nothing of targets: its user takes the requests in the queue's
// order and says which of them were granted a slot.
//
// # Order
//
// The order of two waiting requests is determined by, in this order:
//
//  1. Class (Request.Priority). The more urgent class goes first. A class that waits counts
//     the grants to other classes, and goes before all others once it has counted
//     grantsPerFloor-1 of them. So each class that waits gets at least one grant in
//     grantsPerFloor as long as there are at most that many classes.
//  2. Client account, within a class. The account that has been granted the least work in
//     relation to its weight goes first (weighted max-min). Granted work decays with the
//     time constant forgetTime, so an account that was idle is not owed its whole past.
//  3. Objective, within an account. Requests whose answers can still meet their latency
//     objective go first, the oldest of them first, then the others, the oldest first.
//
// The order depends only on the events and the time that were passed in. It is total,
// because ties are broken by the order in which requests were added. Removing a request
// changes the place of no other.
//
// # Prediction
//
// The wait of a new request is the number of requests that would go before it, divided by
// the rate of grants in the last second. That rate counts only the time in which requests
// waited; otherwise a service whose requests rarely wait would seem slow. Gaps longer than
// maxEventGap do not count, because the process may have been paused. It includes the
// requests that were placed at once in that time: if requests are refused early, fewer
// wait, and the grants to those alone would suggest that even more must be refused.
// Requests of more urgent classes that keep arriving reduce the rate that is left to a
// class, down to what it is guaranteed. Without minGrants recent grants there is no
// prediction.
//
// # Why this is safe
//
// The queue only orders requests and never grants one: all limits on slots, quotas and
// regions are checked by its user at the moment of the grant, so a wrong order or a
// wrong prediction costs fairness or a refusal, but breaks no limit. The state is
// local; after a restart all accounts start equal. It is bounded by the requests that
// wait and the accounts that were used within accountTTL. A prediction inspects at most
// accountSample accounts, so its cost does not grow with their number.
package admission
