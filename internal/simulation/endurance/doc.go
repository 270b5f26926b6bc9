// Package endurance tests long outages: controllers that restart after hundreds of
// changes must catch up in time. It contains only tests, which run in virtual time
// with links of limited bandwidth and disks whose syncs take time.
package endurance
