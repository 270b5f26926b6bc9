package stand

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the platform's short delay before a process that ended is
// started again.
const restartDelay = 500 * time.Millisecond

// daemon is one of the project's own processes, as the platform runs it.
type daemon struct {
	site       *site
	name, role string
	ip         string
	memoryMb   int
	firstStart bool

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// wanted says that the platform starts it again when it ends.
	wanted bool
	// starts counts its starts, ends how often it ended without being told to.
	starts, ends int
}

// program is the program of the deploy file.
const program = "target/myrtlewinch"

// start writes the settings and starts the process.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	file := filepath.Join(d.site.folder, d.name+".yaml")
	if err := os.WriteFile(file, []byte(d.settings()), 0o600); err != nil {
		return err
	}
	command := exec.Command(program, d.role, "--settings", file)
	output, err := os.OpenFile(filepath.Join(d.site.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = output, output
	err = command.Start()
	_ = output.Close()
	if err != nil {
		return err
	}
	d.starts++
	d.command, d.ended, d.wanted = command, make(chan struct{}), true
	go d.wait(command, d.ended)
	return nil
}

// wait notes the end of a process and starts it again if nobody asked for it.
func (d *daemon) wait(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	close(ended)
	d.mu.Lock()
	again := d.wanted && d.command == command
	d.mu.Unlock()
	if !again {
		return
	}
	d.site.record.addf("%s ended: %v; it is started again", d.name, err)
	time.Sleep(restartDelay)
	d.mu.Lock()
	again = d.wanted && d.command == command
	d.mu.Unlock()
	if again {
		d.firstStart = false
		if err := d.start(); err != nil {
			d.site.record.addf("%s could not be started: %v", d.name, err)
		}
	}
}

// signal sends a signal to the process.
func (d *daemon) signal(which syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil && d.command.Process != nil {
		_ = d.command.Process.Signal(which)
	}
}

// expectEnd says that the process is not to be started again when it ends.
func (d *daemon) expectEnd() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = false
}

// stop ends the process for good with a signal, or until start.
func (d *daemon) stop(which syscall.Signal) {
	d.mu.Lock()
	command, ended := d.command, d.ended
	d.mu.Unlock()
	d.expectEnd()
	if command == nil {
		return
	}
	_ = command.Process.Signal(which)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		_ = command.Process.Kill()
		<-ended
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.firstStart = false
}

// dataFolder is the controller's disk.
func (d *daemon) dataFolder() string { return filepath.Join(d.site.folder, d.name+"-data") }

// wipe empties the disk.
func (d *daemon) wipe() error {
	if err := os.RemoveAll(d.dataFolder()); err != nil {
		return err
	}
	return os.Mkdir(d.dataFolder(), 0o700)
}

// anonymousMb is the process's own memory in MB, without pages of files.
func (d *daemon) anonymousMb() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil || d.command.Process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// settings is the text of the settings file, with the bounds of the small site.
func (d *daemon) settings() string {
	s := d.site
	listen, serves, data := fmt.Sprintf("  front: %q\n  ready: %q\n", s.at(d.ip, portFront), s.at(d.ip, portReady)), "edge", "null"
	if d.role == "controller" {
		listen, serves, data = fmt.Sprintf("  control: %q\n", s.at(d.ip, portControl)), "controller", strconv.Quote(d.dataFolder())
	}
	seeds := ""
	for _, c := range s.controllers {
		seeds += fmt.Sprintf("  - %q\n", s.at(c.ip, portControl))
	}
	return fmt.Sprintf(`node_name: %q
role: %q
machine_class: %q
serves:
  - %q
ip: %q
zone: "alx-garden"
region: "alx"
zones:
  alx-garden: "alx"
listen:
%sinner_port_range:
  - %d
  - %d
seeds:
%sfirst_start: %v
loss_counts: %v
limits:
  cpu_part: 0.4
  cores: 1
  memory_mb: %d
  open_files: 4100
  link_mbps: 1000.0
  disk_mb: 128
data_folder: %s
discovery: "platform"
entry: "shared_address"
beat_every_ms: 1200
bear_losses:
  machines: 1
  zones: 0
  regions: 0
%s`, d.name, d.role, serves, serves, d.ip, listen, s.port(portInner), s.port(portInner)+7, seeds,
		d.firstStart, d.role == "controller", d.memoryMb, data, s.boundsText())
}
