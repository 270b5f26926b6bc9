// Package endurance tests long outages: controllers that come back after hundreds
// of changes must catch up in time. It holds tests only, in virtual time, over
// links of limited bandwidth and disks whose syncs take time.
package endurance
