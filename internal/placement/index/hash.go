package index

import "myrtlewinch/internal/protocol"

// The offset and prime of the 64-bit FNV-1a hash.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// HashName returns a hash of a name whose values are evenly distributed.
func HashName(name string) uint64 {
	hash := fnvOffset
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * fnvPrime
	}
	return mixBits(hash)
}

// mixBits is the finalizer of SplitMix64.
func mixBits(n uint64) uint64 {
	n ^= n >> 30
	n *= 0xbf58476d1ce4e5b9
	n ^= n >> 27
	n *= 0x94d049bb133111eb
	return n ^ n>>31
}

// hashReply returns a hash of the parts of a reply that determine what a router does: which
// runners it may choose, or whether one is being loaded. The runners' utilization and the times
// change constantly, so they are left out; routers get them with the next reply.
func hashReply(reply *protocol.IndexReply) uint64 {
	hash := fnvOffset
	for i := range reply.Holders {
		hash = hashHolder(hash, &reply.Holders[i])
	}
	if len(reply.Holders) == 0 && reply.Loading {
		hash++
	}
	return hash
}

func hashHolder(hash uint64, h *protocol.IndexHolder) uint64 {
	const separator = 0xff
	for _, text := range [...]string{h.ID, h.Address} {
		for i := range len(text) {
			hash = (hash ^ uint64(text[i])) * fnvPrime
		}
		hash = (hash ^ separator) * fnvPrime
	}
	return hash
}
