//go:build processtest

package hostileclients

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// memoryMb and openFiles are the limits of each daemon in its settings, and the bounds
	// that the tests check.
	memoryMb  = 96
	openFiles = 700
	// graceSec is the time between SIGTERM and SIGKILL in the settings.
	graceSec = 8
	// endTimeout bounds the wait for a daemon that was told to end. It is far above graceSec,
	// so that it does not depend on the machine.
	endTimeout = 60 * time.Second
)

// programs is the folder of the programs under test. TestMain sets it.
var programs string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (code int, err error) {
	programs, err = os.MkdirTemp("", "hostileclients-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(programs) }()
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", programs+"/",
		"myrtlewinch/cmd/myrtlewinch", "myrtlewinch/cmd/router", "myrtlewinch/cmd/controller")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		return 0, err
	}
	return m.Run(), nil
}

// daemon is one process under test. Its addresses all have the loopback address ip, which no
// other process uses.
type daemon struct {
	name, ip string
	command  *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	log   string
}

// startDaemon starts a program and ends it after the test.
func startDaemon(t *testing.T, name, ip, program string, arguments ...string) *daemon {
	c := qt.New(t)
	d := &daemon{name: name, ip: ip, ended: make(chan struct{}), log: filepath.Join(t.TempDir(), name+".log")}
	output, err := os.Create(d.log)
	c.Assert(err, qt.IsNil)
	defer func() { _ = output.Close() }()
	d.command = exec.Command(filepath.Join(programs, program), arguments...)
	d.command.Stdout, d.command.Stderr = output, output
	c.Assert(d.command.Start(), qt.IsNil)
	go func() {
		_ = d.command.Wait()
		close(d.ended)
	}()
	t.Cleanup(func() {
		_ = d.command.Process.Kill()
		<-d.ended
	})
	return d
}

// isAlive reports whether the process has not ended since its start.
func (d *daemon) isAlive() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// endsAfterSIGTERM reports whether the process ends by itself after SIGTERM.
func (d *daemon) endsAfterSIGTERM() bool {
	_ = d.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.ended:
		return true
	case <-time.After(endTimeout):
		return false
	}
}

// lastLog returns the end of the daemon's log.
func (d *daemon) lastLog() string {
	const maxBytes = 2000
	text, _ := os.ReadFile(d.log)
	return string(text[max(0, len(text)-maxBytes):])
}

// usedBytes returns the memory that counts against the limit: the process's own pages, and
// the bytes that have arrived on its connections and that it has not read.
func (d *daemon) usedBytes() int64 { return d.anonymousBytes() + unreadBytes(d.ip) }

func (d *daemon) anonymousBytes() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// openDescriptors returns how many descriptors the process has open.
func (d *daemon) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	return len(entries)
}

// tcpListen is the state of a listening socket in /proc/net/tcp.
const tcpListen = "0A"

// unreadBytes returns the bytes that have arrived at a local address and have not been read.
func unreadBytes(ip string) (bytes int64) {
	var a, b, c, d int
	_, _ = fmt.Sscanf(ip, "%d.%d.%d.%d", &a, &b, &c, &d)
	local := fmt.Sprintf("%02X%02X%02X%02X:", d, c, b, a)
	text, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == tcpListen {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		unread, _ := strconv.ParseInt(received, 16, 64)
		bytes += unread
	}
	return bytes
}
