// Package membership decides which disks the next epoch record names as replicas
// and as witnesses: which daemon to recruit, which member to replace, and when a
// member that is stopping as planned has handed over all that another daemon can
// take over. It only reads; the primary records what it decides.
package membership
