// Package token recognises a caller's retries of non-idempotent requests.
//
// A caller whose request times out retries it. If the first send ran, running
// the second would create a second permit dossier or charge a fee twice. A
// look-up therefore issues one-time tokens, each bound to one incarnation of
// one entry VM. The caller sends its request with the token, and retries it with
// the same token at the same entry VM, whose Ledger admits each token once.
// Nothing is stored outside that process, so tokens work while the platform is
// down or the failure domain is cut off.
//
// # Statuses and verdicts
//
// The Ledger answers every send with an Admission. Its Verdict covers all sends
// of the token together. It is NotRun only if no send has run or will run:
//
//   - New: this send may run, and no other send ever will.
//   - Duplicate: the token was admitted or refused before. While the first
//     send is in progress the verdict is MayHaveRun; afterwards it is the first
//     send's verdict.
//   - Elsewhere: another entry VM, or another process under this one's VMID,
//     holds the record. The verdict is MayHaveRun, and the Admission names the
//     process to ask. The records of a process that has ended are lost: the
//     outcome stays unknown, and the caller has to clarify it with the service
//     itself.
//   - Expired: too late to run. NotRun while the Ledger would still hold a
//     record of an earlier send, MayHaveRun after that.
//   - Full: the Ledger has no room. NotRun; retry with a fresh token.
//   - Premature: the minter's clock is far ahead. MayHaveRun, since nothing is
//     recorded.
//   - Invalid: the token was not minted with this key, so it can never be
//     admitted. NotRun.
//
// # NotRun is final
//
// A token is not admitted again after its first send ended as NotRun. A
// caller's library may have two sends in transit: the second is refused, the
// caller gets NotRun and sends a fresh token to another entry VM, and then the
// first send is read from a slow connection. If the old token could be admitted
// again, the work would run twice, in spite of the NotRun. The refusal carries
// a fresh token instead. For the same reason, an entry VM that refuses a request
// before it reaches the queue (stopping, overloaded) calls Refuse, and a
// caller's query about a token that was never seen records it as NotRun.
//
// When the Ledger is full it cannot record the refusal. It then stores only the
// highest expiry refused, and admits only tokens that expire later. Fresh
// tokens do, since they are minted later.
//
// # Clocks
//
// The expiry of a token is checked with the clock of the process to which the
// token is bound. Within the process that clock never falls. A record is
// dropped only after this clock has passed the token's expiry, and from then on
// the token stays Expired; so a token never becomes valid again after its
// record was dropped, however wrong the minter's clock was. Clock skew only
// shortens the lifetime of a token, or extends it up to MaxLifetime. This
// requires unique incarnations: two processes with the same VMID and
// incarnation would each admit the token.
package token
