// Command router runs one router of the native interface, on an edge machine.
package main

import (
	"net"

	"github.com/charmbracelet/log"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/settings"
)

func main() {
	cli.Setup("router", "Forwards clients' requests to runners; runs on an edge machine.")
	var flags settings.Flags
	flags.Register(false)
	cli.Run("router", false, &flags, func(s settings.Settings, peers, web net.Listener, logger *log.Logger) (cli.Daemon, error) {
		return router.NewServer(s, peers, web, logger)
	})
}
