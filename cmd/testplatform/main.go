// Program platform is the stand-in for the platform: it lists the runners and
// marks those about to leave.
package main

import (
	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/testbackend"
)

func main() {
	cli.Setup("testplatform", "Stand-in: lists runners (GET /runners) and marks leavers (POST /runners/NAME/leaving).")
	http := ""
	flaggy.String(&http, "", "http", "IP:port to listen at")
	cli.Parse()
	cli.Serve(cli.Listen("http", http), testbackend.NewPlatform())
}
