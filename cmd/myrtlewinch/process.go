package main

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
	"myrtlewinch/platform"
)

// site is the name that all processes of one site share. A deployment has only one
// site, so any name does.
const site = "platform"

// incarnationBytes is the length of the random name of a router's start.
const incarnationBytes = 8

// siteProcess is a router or a controller.
type siteProcess interface {
	cli.Daemon
	// SetSeeds replaces the addresses at which controllers are looked for.
	SetSeeds(seeds []string)
}

// newRouter makes a router and opens its listeners.
func newRouter(settings platform.Settings, logger *log.Logger) (siteProcess, error) {
	if !settings.ServesClients() {
		return nil, errors.New("a router must serve clients; the settings say it does not")
	}
	self, err := routerNode(settings)
	if err != nil {
		return nil, err
	}
	peers, err := listen("for peers", settings.PeerAddress())
	if err != nil {
		return nil, err
	}
	clients, err := listen("for clients", settings.ClientAddress)
	if err != nil {
		return nil, err
	}
	readiness, err := listen("for the platform", settings.ReadinessAddress)
	if err != nil {
		return nil, err
	}
	return proxy.NewServer(proxy.Settings{
		Site: site, Self: self, Seeds: settings.PeerSeeds(), Bounds: settings.Bounds,
		ListAddress: settings.RunnerList.Address, MemoryMb: settings.MemoryMb, OpenFiles: settings.OpenFiles,
	}, platform.Codec{}, platform.ConfigFormat{}, platform.Client{}, peers, clients, readiness, logger)
}

// newController makes a controller and opens its listeners.
func newController(settings platform.Settings, logger *log.Logger) (siteProcess, error) {
	if !settings.ServesOperators() {
		return nil, errors.New("a controller must serve operators; the settings say it does not")
	}
	_, operatorPort, err := net.SplitHostPort(settings.OperatorAddress)
	if err != nil {
		return nil, err
	}
	peers, err := listen("for peers", settings.PeerAddress())
	if err != nil {
		return nil, err
	}
	operators, err := listen("for operators", settings.OperatorAddress)
	if err != nil {
		return nil, err
	}
	newOperatorAPI := func(runtime *process.Runtime) http.Handler {
		return platform.OperatorHandler(runtime, settings.Bounds.AckMs)
	}
	return controller.NewDaemon(controller.DaemonSettings{
		Settings: controller.Settings{
			Self: selfNode(settings, protocol.RoleController), Bounds: settings.Bounds, ControlPort: operatorPort,
			ListAddress: settings.RunnerList.Address, ListPerSec: settings.RunnerList.CallsPerSec,
		},
		Site: site, Seeds: settings.PeerSeeds(), MaxLosses: settings.MaxLosses,
		FirstStart: settings.FirstStart, DataFolder: settings.DataFolder,
	}, platform.ConfigFormat{}, platform.Client{}, newOperatorAPI, peers, operators, logger)
}

// selfNode is this process as its peers know it.
func selfNode(settings platform.Settings, role string) protocol.Node {
	return protocol.Node{Name: settings.Name, Address: settings.PeerAddress(), Zone: settings.Zone, Part: role}
}

// routerNode is a router as its peers know it. A router keeps nothing on disk, so
// each start is a new incarnation.
func routerNode(settings platform.Settings) (protocol.Node, error) {
	incarnation := make([]byte, incarnationBytes)
	if _, err := rand.Read(incarnation); err != nil {
		return protocol.Node{}, err
	}
	node := selfNode(settings, protocol.RoleRouter)
	node.Incarnation = hex.EncodeToString(incarnation)
	return node, nil
}

// listen opens a listener; what it is for goes into the error.
func listen(purpose, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, purpose)
	}
	return listener, nil
}
