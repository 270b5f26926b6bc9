// Command testrunner stands in for a runner with its weight store.
package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/testbackend"
)

const (
	// announceTimeout bounds the call that adds the runner to the platform's list.
	announceTimeout = 5 * time.Second
	// incarnationBytes is the length of a random incarnation, before encoding.
	incarnationBytes = 8
)

// options are the program's flags.
type options struct {
	name, address, platform  string
	capacity, loadMs, workMs int64
	chunks                   int
}

func parseOptions() options {
	o := options{capacity: 96, loadMs: 3000, workMs: 200, chunks: 8}
	flaggy.String(&o.name, "", "name", "name of the runner")
	flaggy.String(&o.address, "", "http", "IP:port to listen on")
	flaggy.String(&o.platform, "", "platform", "IP:port of the platform")
	flaggy.Int64(&o.capacity, "", "room", "capacity for models")
	flaggy.Int64(&o.loadMs, "", "loadMs", "how long a load takes")
	flaggy.Int64(&o.workMs, "", "workMs", "how long a response takes, or each chunk of a stream")
	flaggy.Int(&o.chunks, "", "pieces", "chunks of a stream")
	cli.Parse()
	switch {
	case o.name == "":
		cli.UsageError("name: must be given")
	case o.platform == "":
		cli.UsageError("platform: must be given")
	case o.capacity < 0 || o.loadMs < 0 || o.workMs < 0 || o.chunks < 0:
		cli.UsageError("room, loadMs, workMs, pieces: must not be negative")
	}
	return o
}

func main() {
	cli.Setup("testrunner", "Stand-in for a runner: holds models and announces itself to the platform.")
	o := parseOptions()
	listener := cli.Listen("http", o.address)
	incarnation, err := newIncarnation()
	if err != nil {
		cli.Fatal("%v", err)
	}
	if err := announce(o.platform, protocol.ListedRunner{Name: o.name, Address: o.address, Incarnation: incarnation}); err != nil {
		cli.Fatal("announcing the runner to the platform failed: %v", err)
	}
	runner := testbackend.NewRunner(o.name, incarnation, o.capacity, o.loadMs, nil)
	cli.Serve(listener, testbackend.NewRunnerServer(runner, process.NewClock().NowMs, o.workMs, o.chunks))
}

// newIncarnation returns a random id for this start of the process.
func newIncarnation() (string, error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "incarnation")
	}
	return hex.EncodeToString(random), nil
}

// announce adds the runner to the platform's list.
func announce(platform string, listed protocol.ListedRunner) error {
	body, err := json.Marshal(listed)
	if err != nil {
		return errors.Wrap(err, "announcement")
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	url := "http://" + platform + "/runners/" + listed.Name
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
