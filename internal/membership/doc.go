// Package membership decides which disks the next epoch record names as replicas and as
// witnesses: which daemon to add, which member to replace, and when a member that is
// shutting down as planned has handed over its replica and its vote as far as another
// daemon can have them. It only reads; the primary proposes the record that it plans.
package membership
