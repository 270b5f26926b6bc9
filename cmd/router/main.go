// Program router runs one router, on an edge machine.
package main

import (
	"net"

	"github.com/charmbracelet/log"

	"myrtlewinch/program"
	"myrtlewinch/settings"
	"myrtlewinch/traffic"
)

func main() {
	program.Begin("router", "Takes requests and sends them to runners, on an edge machine.")
	var flags settings.Flags
	flags.Add(false)
	program.Run("router", false, &flags, func(set settings.Settings, peers, web net.Listener, logger *log.Logger) (program.Daemon, error) {
		return traffic.NewGate(set, peers, web, logger)
	})
}
