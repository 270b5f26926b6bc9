// Command testplatform stands in for the platform. It lists the runners and marks the
// runners that are about to leave.
package main

import (
	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/testbackend"
)

func main() {
	cli.Setup("testplatform", "Stand-in for the platform: lists runners (GET /runners) and marks those that are about to leave (POST /runners/NAME/leaving).")
	address := ""
	flaggy.String(&address, "", "http", "IP:port to listen on")
	cli.Parse()
	cli.Serve(cli.Listen("http", address), testbackend.NewPlatform())
}
