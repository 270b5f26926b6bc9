package process

const (
	// defaultMaxConnections is the limit of connections of each kind if the open files of the
	// process are not limited.
	defaultMaxConnections = 1024
	// minMaxConnections is the least limit of connections of each kind.
	minMaxConnections = 16
	// reservedFiles is the number of open files that are reserved for files.
	reservedFiles = 200
	// webFilesDivisor and peerFilesDivisor are the shares of the other open files that the
	// connections of clients and operators, and those of other daemons, may use.
	webFilesDivisor  = 8
	peerFilesDivisor = 4
)

// maxWebConnections returns the limit of connections to the web listener.
func maxWebConnections(openFiles int) int { return shareOfFiles(openFiles, webFilesDivisor) }

// maxPeerConnections returns the limit of connections from other daemons.
func maxPeerConnections(openFiles int) int { return shareOfFiles(openFiles, peerFilesDivisor) }

func shareOfFiles(openFiles, divisor int) int {
	if openFiles <= 0 {
		return defaultMaxConnections
	}
	return max(minMaxConnections, (openFiles-reservedFiles)/divisor)
}
