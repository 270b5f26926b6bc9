// Package election decides which controller is the primary. A candidate first asks
// the other controllers whether they have lost contact with the primary as well
// (pre-vote). It then has a majority of the witnesses promise a ballot (prepare) and
// accept the record of the next epoch under it, as in Paxos. The primary holds a
// lease that it renews at a majority of the witnesses, and has them accept changes of
// the members in the same way. The first record of a site comes from its seeds or
// from an operator (bootstrap), and an operator may recover a site from one surviving
// replica.
//
// Machine is a pure state machine: each exported method that takes an Environment, which has
// the time and the state of the rest of the daemon, is an input. TakeOutputs returns what
// the caller has to do.
package election
