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
	"myrtlewinch/internal/listener"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
	"myrtlewinch/platform"
)

// siteName is the site's name, which all its daemons share. A deployment has only one
// site, so any name is sufficient.
const siteName = "platform"

// incarnationBytes is the length of a router's random incarnation, before encoding.
const incarnationBytes = 8

// siteDaemon is a router or a controller.
type siteDaemon interface {
	cli.Daemon
	// SetSeeds replaces the addresses at which the daemon looks for controllers.
	SetSeeds(seeds []string)
}

// newRouter creates a router and opens its listeners.
func newRouter(settings platform.Settings, logger *log.Logger) (siteDaemon, error) {
	if !settings.ServesClients() {
		return nil, errors.New(`the setting serves of a router must include "edge"`)
	}
	self, err := routerNode(settings)
	if err != nil {
		return nil, err
	}
	peers, err := listen("listening for peers", settings.PeerAddress(), listener.PeerBufferBytes, settings.MemoryMb)
	if err != nil {
		return nil, err
	}
	clients, err := listen("listening for clients", settings.ClientAddress, listener.ClientBufferBytes, settings.MemoryMb)
	if err != nil {
		return nil, err
	}
	readiness, err := listen("listening for the platform's readiness checks", settings.ReadinessAddress, listener.ClientBufferBytes, settings.MemoryMb)
	if err != nil {
		return nil, err
	}
	return proxy.NewServer(proxy.Settings{
		Site: siteName, Self: self, Seeds: settings.PeerSeeds(), Bounds: settings.Bounds,
		RunnerListAddress: settings.RunnerList.Address, MemoryMb: settings.MemoryMb, OpenFiles: settings.OpenFiles,
	}, platform.Codec{}, platform.ConfigFormat{}, platform.Client{}, peers, clients, readiness, logger)
}

// newController creates a controller and opens its listeners.
func newController(settings platform.Settings, logger *log.Logger) (siteDaemon, error) {
	if !settings.ServesOperators() {
		return nil, errors.New(`the setting serves of a controller must include "controller"`)
	}
	_, operatorPort, err := net.SplitHostPort(settings.OperatorAddress)
	if err != nil {
		return nil, err
	}
	peers, err := listen("listening for peers", settings.PeerAddress(), listener.PeerBufferBytes, settings.MemoryMb)
	if err != nil {
		return nil, err
	}
	operators, err := listen("listening for operators", settings.OperatorAddress, listener.ClientBufferBytes, settings.MemoryMb)
	if err != nil {
		return nil, err
	}
	newOperatorAPI := func(runtime *process.Runtime) http.Handler {
		return platform.OperatorHandler(runtime, settings.Bounds.AckMs)
	}
	return controller.NewDaemon(controller.DaemonSettings{
		Settings: controller.Settings{
			Self: selfNode(settings, protocol.RoleController), Bounds: settings.Bounds, OperatorPort: operatorPort,
			RunnerListAddress: settings.RunnerList.Address, RunnerListCallsPerSec: settings.RunnerList.CallsPerSec,
		},
		Site: siteName, Seeds: settings.PeerSeeds(), MaxLosses: settings.MaxLosses,
		FirstStart: settings.FirstStart, DataFolder: settings.DataFolder,
		MemoryMb: settings.MemoryMb, OpenFiles: settings.OpenFiles,
	}, platform.ConfigFormat{}, platform.Client{}, newOperatorAPI, peers, operators, logger)
}

// selfNode returns this daemon as its peers know it.
func selfNode(settings platform.Settings, role string) protocol.Node {
	return protocol.Node{Name: settings.Name, Address: settings.PeerAddress(), Zone: settings.Zone, Part: role}
}

// routerNode returns the node that represents this router to its peers. A router stores
// nothing on disk, so each start is a new incarnation.
func routerNode(settings platform.Settings) (protocol.Node, error) {
	incarnation := make([]byte, incarnationBytes)
	if _, err := rand.Read(incarnation); err != nil {
		return protocol.Node{}, err
	}
	node := selfNode(settings, protocol.RoleRouter)
	node.Incarnation = hex.EncodeToString(incarnation)
	return node, nil
}

// listen opens a listener. The purpose becomes part of an error.
func listen(purpose, address string, bufferBytes, memoryMb int) (net.Listener, error) {
	opened, err := listener.Listen(address, bufferBytes, memoryMb)
	if err != nil {
		return nil, errors.Wrap(err, purpose)
	}
	return opened, nil
}
