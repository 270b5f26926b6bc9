// Package election decides which controller is the primary. A candidate first
// asks the other controllers whether they miss the primary too (pre-vote), then
// has a majority of the witnesses promise a ballot (prepare) and store the record
// of the next epoch under it (accept), as in Paxos. The primary holds a lease that
// it renews at a majority of the witnesses, and records changes of the members in
// the same way. The first record of a site is bootstrapped by its seeds or by an
// operator, and an operator may recover a site from one surviving copy.
//
// Machine is a plain state machine: its methods are its inputs, with the time and
// what the rest of the daemon knows in an Environment, and TakeOutputs returns
// what is to be done.
package election
