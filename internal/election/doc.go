// Package election decides which controller is the primary. A candidate first asks
// the other controllers whether they have lost contact with the primary as well
// (pre-vote), then has a majority of the witnesses promise a ballot (prepare) and
// store the record of the next epoch under it (accept), as in Paxos. The primary
// holds a lease that it renews at a majority of the witnesses, and records changes
// of the members in the same way. The first record of a site is bootstrapped by
// its seeds or by an operator, and an operator may recover a site from one
// surviving copy.
//
// Machine is a plain state machine: each exported method with an Environment,
// which has the time and the state of the rest of the daemon, is an input;
// TakeOutputs returns what the caller has to do.
package election
