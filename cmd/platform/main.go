// Program platform is the stand-in for the platform: it lists the runners and
// marks those about to leave.
package main

import (
	"github.com/integrii/flaggy"

	"myrtlewinch/program"
	"myrtlewinch/stand"
)

func main() {
	program.Begin("platform", "Stand-in: lists runners (GET /runners) and marks leavers (POST /runners/NAME/leaving).")
	http := ""
	flaggy.String(&http, "", "http", "IP:port to listen at")
	program.Parse()
	program.Web(program.Listen("http", http), stand.NewPlatform())
}
