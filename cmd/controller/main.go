// Command controller runs one controller of the native interface on a core machine. The
// controller is a witness and a replica of the control state.
package main

import (
	"net"

	"github.com/charmbracelet/log"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/settings"
)

func main() {
	cli.Setup("controller", "Keeps the control state of a site; runs on a core machine.")
	var flags settings.Flags
	flags.Register(true)
	cli.Run("controller", true, &flags, func(s settings.Settings, peers, web net.Listener, logger *log.Logger) (cli.Daemon, error) {
		return controller.NewDaemon(s, peers, web, logger)
	})
}
