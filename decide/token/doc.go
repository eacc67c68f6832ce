// Package token recognises a caller's retries of non-idempotent requests.
//
// A caller whose request times out retries it. If the first send ran, running
// the second would make a second permit dossier or bill a fee twice. So a
// look-up issues one-time tokens, each bound to one incarnation of one entry
// VM. The caller sends its request with the token, and retries it with the same
// token at the same entry VM, whose Ledger admits each token once. Nothing is
// stored outside that process, so tokens work while the platform is down or the
// failure domain is cut off.
//
// # What an answer means
//
// The Ledger answers every send with an Admission. Its Verdict speaks of all
// sends of the token together, and it is NotRun only if no send has run or
// will run:
//
//   - New: this send may run; it is the only one that ever will.
//   - Duplicate: the token was admitted or settled before. While the first
//     send is at work the verdict is MayHaveRun; afterwards it is the first
//     send's verdict.
//   - Elsewhere: another entry VM, or an earlier process under this one's
//     VMID, holds the record. The verdict is MayHaveRun, and the Admission
//     names whom to ask. The records of a dead process are lost: the outcome
//     stays unknown, and the caller has to settle it with the service itself.
//   - Expired: too late to run. NotRun while the Ledger would still hold a
//     record of an earlier send, MayHaveRun after that.
//   - Full: the Ledger has no room. NotRun, try again with a fresh token.
//   - Premature: the minter's clock runs far ahead. Nothing is recorded, so
//     nothing is claimed: MayHaveRun.
//   - Invalid: not one of our tokens; it can never be admitted. NotRun.
//
// # A token is spent by NotRun as well
//
// It seems harmless to admit a token again after its first send ended as
// NotRun. It is not. A caller's library may have two sends on the way: the
// second is refused, the caller is told NotRun and takes a fresh token to
// another entry VM, and then the first send is read from a slow connection.
// Were the token free again, the work would run twice, and after a NotRun.
// So NotRun is final: the refusal carries a fresh token instead. For the same
// reason an entry VM that refuses a request before it looks at its queue
// (stopping, overloaded) calls Refuse, and a caller's question about a token
// that was never seen settles it as NotRun.
//
// When the Ledger is full it cannot record the refusal. It then remembers one
// number, the highest expiry refused, and admits only tokens that expire
// later. Fresh tokens do, as they are minted later.
//
// # Clocks
//
// A token is judged by the clock of the process it is bound to, and that clock
// never falls within the process. A record is dropped only once this clock
// has passed the token's expiry, from where on the token is Expired for good;
// so a token never becomes valid again after its record was dropped, however
// wrong the minter's clock was. Skew only makes a token live shorter, or
// longer up to MaxLifetime. The argument needs incarnations to be unique: two
// processes under one VMID with one incarnation would each admit a token.
package token
