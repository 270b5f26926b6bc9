// Package membership decides which disks the next epoch record names as replicas
// and as witnesses: whom to recruit, whom to replace, and when a member that is
// stopping as planned has nothing left that another could take over. It only
// reads; the primary records what it decides.
package membership
