package process

const (
	// defaultMaxConnections is the limit of connections of each kind if the open files of the
	// process are not limited.
	defaultMaxConnections = 1024
	// minMaxConnections is the least limit of connections of each kind.
	minMaxConnections = 16
	// reservedFiles is the number of open files that are reserved for files.
	reservedFiles = 200
	// peerFilesDivisor is the share of the other open files that the connections of other
	// daemons may use.
	peerFilesDivisor = 4
)

// maxPeerConnections returns the limit of connections from other daemons.
func maxPeerConnections(openFiles int) int {
	if openFiles <= 0 {
		return defaultMaxConnections
	}
	return max(minMaxConnections, (openFiles-reservedFiles)/peerFilesDivisor)
}
