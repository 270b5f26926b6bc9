// Package hostileclients has tests in which clients that do not follow the protocol, or stay
// at its limits in great numbers, connect to the daemons' own processes on loopback
// addresses. The tests have the build tag processtest, because they must run one at a time
// and apart from other load.
package hostileclients
