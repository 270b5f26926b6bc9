// Package endurance tries long days: hundreds of changes, then a restart. It
// holds tests alone, in virtual time, with links of a bandwidth and disks of a
// time for each sync.
package endurance
