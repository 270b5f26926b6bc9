//go:build processtest

package hostileclients

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// seedsVariable names the environment variable with the number of seeds; without it
	// defaultSeeds are run.
	seedsVariable = "HOSTILE_SEEDS"
	defaultSeeds  = 3
	// soakRounds is the number of rounds of a seed, soakCrowds the number of crowds that
	// connect at the same time in each.
	soakRounds = 3
	soakCrowds = 3
	// freezeTime is how long a process is suspended.
	freezeTime = time.Second
)

// crowdKind is a kind of hostile clients.
type crowdKind struct {
	name string
	// most is the largest number of clients.
	most    int
	address func(s *site) string
	send    func(s *site, client *bufio.Writer, random *rand.Rand) error
}

func clientsPort(s *site) string  { return addressOf(s.router, portClients) }
func readyPort(s *site) string    { return addressOf(s.router, portReady) }
func controlPort(s *site) string  { return addressOf(s.controllers[0], portControl) }
func routerPeers(s *site) string  { return addressOf(s.router, portRouterPeers) }
func controlPeers(s *site) string { return addressOf(s.controllers[0], portPeers) }

// sendChunks sends a head and up to stoppedChunks chunks of a drawn size.
func sendChunks(client *bufio.Writer, random *rand.Rand, head func() error) error {
	if err := head(); err != nil {
		return err
	}
	size := 1 + random.IntN(chunkBytes)
	return repeat(random.IntN(stoppedChunks+1), func(int) error { return writeChunk(client, chunkData[:size]) })
}

// sendFields sends a head of a drawn number of short fields that does not end.
func sendFields(client *bufio.Writer, random *rand.Rand, path string) error {
	if _, err := fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: %s\r\n", path, siteHost); err != nil {
		return err
	}
	return repeat(random.IntN(headFields), func(number int) error { _, err := fmt.Fprintf(client, "%x:a\r\n", number); return err })
}

func sendNothing(*site, *bufio.Writer, *rand.Rand) error { return nil }

func sendBytes(_ *site, client *bufio.Writer, random *rand.Rand) error {
	block := make([]byte, 1+random.IntN(chunkBytes))
	for i := range block {
		block[i] = byte(random.Uint32())
	}
	return repeat(random.IntN(stoppedChunks), func(int) error { _, err := client.Write(block); return err })
}

var crowdKinds = []crowdKind{
	{"bodies in chunks", bodyClients, clientsPort, func(s *site, client *bufio.Writer, random *rand.Rand) error {
		return sendChunks(client, random, func() error { return s.writeHead(client, plainPath, chunkedLine) })
	}},
	{"bodies in chunks that end", bodyClients, clientsPort, func(s *site, client *bufio.Writer, random *rand.Rand) error {
		if err := sendChunks(client, random, func() error { return s.writeHead(client, slowPath, chunkedLine) }); err != nil {
			return err
		}
		_, err := io.WriteString(client, "0\r\n\r\n")
		return err
	}},
	{"bodies with a length", bodyClients, clientsPort, func(s *site, client *bufio.Writer, random *rand.Rand) error {
		if err := s.writeHead(client, plainPath, fmt.Sprintf("Content-Length: %d", 1+random.IntN(maxBodyBytes))); err != nil {
			return err
		}
		return repeat(random.IntN(stoppedChunks), func(int) error { _, err := client.Write(chunkData); return err })
	}},
	{"unread answers", bodyClients, clientsPort, func(s *site, client *bufio.Writer, _ *rand.Rand) error {
		return s.writeHead(client, largePath, "Content-Length: 0")
	}},
	{"pipelined requests", bodyClients, clientsPort, func(s *site, client *bufio.Writer, random *rand.Rand) error {
		return repeat(random.IntN(2000), func(int) error { return s.writeHead(client, plainPath, "Content-Length: 0") })
	}},
	{"heads", headClients, clientsPort, func(_ *site, client *bufio.Writer, random *rand.Rand) error {
		return sendFields(client, random, plainPath)
	}},
	{"silence", silentClients, clientsPort, sendNothing},
	{"random bytes", headClients, clientsPort, sendBytes},
	{"silence at the ready port", silentClients, readyPort, sendNothing},
	{"random bytes at the ready port", headClients, readyPort, sendBytes},
	{"heads at the control port", headClients, controlPort, func(_ *site, client *bufio.Writer, random *rand.Rand) error {
		return sendFields(client, random, "/status")
	}},
	{"submissions", bodyClients, controlPort, func(_ *site, client *bufio.Writer, random *rand.Rand) error {
		return sendChunks(client, random, func() error { return writeSubmissionHead(client, chunkedLine) })
	}},
	{"silence at the control port", silentClients, controlPort, sendNothing},
	{"silence at a router's port for daemons", silentClients, routerPeers, sendNothing},
	{"random bytes at a router's port for daemons", headClients, routerPeers, sendBytes},
	{"random bytes at a controller's port for daemons", headClients, controlPeers, sendBytes},
	{"silence at a controller's port for daemons", silentClients, controlPeers, sendNothing},
}

// disturbances happen to the site while the crowds connect.
var disturbances = []struct {
	name string
	act  func(t *testing.T, s *site, watches map[*daemon]*watch)
}{
	{"none", func(*testing.T, *site, map[*daemon]*watch) {}},
	{"router frozen", func(_ *testing.T, s *site, _ map[*daemon]*watch) { s.router.freeze() }},
	{"first controller frozen", func(_ *testing.T, s *site, _ map[*daemon]*watch) { s.controllers[0].freeze() }},
	{"second controller killed", func(t *testing.T, s *site, watches map[*daemon]*watch) {
		killed := s.controllers[1]
		watches[killed].check(qt.New(t), memoryMb<<20, openFiles)
		delete(watches, killed)
		_ = killed.command.Process.Kill()
		<-killed.ended
		s.controllers[1] = s.start(t, "core-2", "controller", 11)
		watches[s.controllers[1]] = watchDaemon(s.controllers[1])
	}},
}

// freeze suspends the process for a while.
func (d *daemon) freeze() {
	_ = d.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	_ = d.command.Process.Signal(syscall.SIGCONT)
}

// Crowds of drawn kinds connect at the same time and stay, while the site is disturbed. Each
// process stays within its limits, and after each round an ordinary request is answered.
func TestMixedCrowds(t *testing.T) {
	seeds := defaultSeeds
	if text := os.Getenv(seedsVariable); text != "" {
		number, err := strconv.Atoi(text)
		qt.Assert(t, err, qt.IsNil)
		seeds = number
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, uint64(seed)) })
	}
}

func soak(t *testing.T, seed uint64) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(seed, seed))
	s := startSite(t)
	watches := map[*daemon]*watch{}
	for _, d := range append([]*daemon{s.router}, s.controllers...) {
		watches[d] = watchDaemon(d)
	}
	for range soakRounds {
		var crowds sync.WaitGroup
		for range soakCrowds {
			kind := crowdKinds[random.IntN(len(crowdKinds))]
			count, crowdSeed := 1+random.IntN(kind.most), random.Uint64()
			c.Logf("%d clients: %s", count, kind.name)
			crowds.Go(func() {
				sendAll(t, kind.address(s), count, func(client *bufio.Writer, number int) error {
					return kind.send(s, client, rand.New(rand.NewPCG(crowdSeed, uint64(number))))
				})
			})
		}
		disturbance := disturbances[random.IntN(len(disturbances))]
		c.Logf("disturbance: %s", disturbance.name)
		disturbance.act(t, s, watches)
		crowds.Wait()
		c.Check(eventually(ordinaryTimeout, s.ordinaryRequest), qt.IsNil)
	}
	for _, d := range s.controllers {
		c.Check(eventually(ordinaryTimeout, func() error { return s.readConfiguration(d) }), qt.IsNil)
	}
	for _, w := range watches {
		w.check(c, memoryMb<<20, openFiles)
	}
}
