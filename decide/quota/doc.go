// Package quota limits the requests of client accounts over all entry VMs together.
//
// The operators' Rule allows an account (Window × rate + burst) × (1 + Overage) +
// Slack requests in any window, summed over all entry VMs, whether or not they can
// reach each other. Therefore no VM may rely on what another one has admitted.
//
// # Tokens
//
// Each request costs a token. A Budget says how fast an account's tokens are issued
// by all VMs together and how many may be saved up. It is divided into fixed parts,
// one for each issuing VM, and a Bucket holds one part. A VM that needs more tokens
// than its part gets them from another VM, which gives away its own.
//
// # Scarce tokens
//
// While VMs ask for more tokens than are issued, Claims divides what a VM issues between
// those that are short, by their demand and priority (Divide). Waiting is the order in
// which requests at one VM get tokens. Neither creates tokens: a Take of Claims takes them
// from a Bucket, whatever other VMs have stated.
//
// # Why this is safe
//
// Tokens are created only by time, in parts that add up to the budget. A VM that is
// cut off, has restarted or takes itself for a coordinator beside another one
// creates no more than its part. A new process starts with an empty bucket, because
// it does not know what its predecessor has used. A message that transfers tokens
// may be lost, but not received twice, and is void after TransferTimeout.
//
// So a window contains at most the tokens that existed at its start and those
// created meanwhile. The former are the buckets' depths, and tokens on their way:
// transfers, and requests that were admitted but have not arrived, or were not run
// and have their token returned. What has been on its way for less than Transit was
// taken from buckets that have been refilled since, so it adds at most Transit ×
// rate. Rule.Budget divides what the rule allows accordingly.
package quota
