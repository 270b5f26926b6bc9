// Program runner is the stand-in for a runner with its weight store.
package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/testbackend"
)

func main() {
	cli.Setup("testrunner", "Stand-in: a runner that holds models, announced to the platform.")
	var name, address, platform string
	var room, loadMs, workMs int64 = 96, 3000, 200
	pieces := 8
	flaggy.String(&name, "", "name", "name of the runner")
	flaggy.String(&address, "", "http", "IP:port to listen at")
	flaggy.String(&platform, "", "platform", "IP:port of the platform")
	flaggy.Int64(&room, "", "room", "room for models")
	flaggy.Int64(&loadMs, "", "loadMs", "how long a load takes")
	flaggy.Int64(&workMs, "", "workMs", "how long an answer takes, or a piece of a telling")
	flaggy.Int(&pieces, "", "pieces", "pieces of a telling")
	cli.Parse()
	switch {
	case name == "":
		cli.UsageError("name: must be given")
	case platform == "":
		cli.UsageError("platform: must be given")
	case room < 0 || loadMs < 0 || workMs < 0 || pieces < 0:
		cli.UsageError("room, loadMs, workMs, pieces: must not be negative")
	}
	at := cli.Listen("http", address)
	token := make([]byte, 8)
	if _, err := rand.Read(token); err != nil {
		cli.Fatal("%v", err)
	}
	incarnation := hex.EncodeToString(token)
	if err := announce(platform, protocol.ListedRunner{Name: name, Address: address, Incarnation: incarnation}); err != nil {
		cli.Fatal("platform: %v", err)
	}
	runner := testbackend.NewRunner(name, incarnation, room, loadMs, nil)
	cli.Serve(at, testbackend.NewRunnerServer(runner, process.NewClock().NowMs, workMs, pieces))
}

func announce(platform string, listed protocol.ListedRunner) error {
	text, _ := json.Marshal(listed)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+platform+"/runners/"+listed.Name, bytes.NewReader(text))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return answer.Body.Close()
}
