// Program controller runs one controller: a witness and a copy of the control
// state, on a core machine.
package main

import (
	"net"

	"github.com/charmbracelet/log"

	"myrtlewinch/control"
	"myrtlewinch/program"
	"myrtlewinch/settings"
)

func main() {
	program.Begin("controller", "Keeps the control state of a site, on a core machine.")
	var flags settings.Flags
	flags.Add(true)
	program.Run("controller", true, &flags, func(set settings.Settings, peers, web net.Listener, logger *log.Logger) (program.Daemon, error) {
		return control.NewOffice(set, peers, web, logger)
	})
}
