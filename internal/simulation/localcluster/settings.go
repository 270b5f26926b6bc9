package localcluster

import (
	_ "embed" // for trouble.sh
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/settings"
)

// faultScript pauses, kills and starts the running processes one after another. The
// effect shows in the output of the load generator and on the status pages.
//
//go:embed trouble.sh
var faultScript string

const (
	dataMode   = 0o644
	scriptMode = 0o755
	folderMode = 0o755
)

// runScriptHead is the first part of run.sh; a line for each process follows.
const runScriptHead = `#!/bin/sh
# Runs the site %s on this machine until interrupted. BIN is the folder of the programs.
cd "$(dirname "$0")" || exit 1
BIN=${BIN:-../bin}
trap 'trap - INT TERM; kill $PIDS; wait' INT TERM
`

// siteFiles collects the files that run a site as separate processes.
type siteFiles struct {
	folder   string
	lastPort int
	platform string
	// runScript is the part of run.sh that was written so far.
	runScript strings.Builder
	// controllers and routers hold the HTTP addresses of the daemons.
	controllers, routers []string
}

// WriteSettings writes the settings of a site's processes into a folder, with a shell
// script that runs them. The processes get the ports that follow the given one. The
// script must be run by a person, because no program of this project starts another.
func WriteSettings(d *description.Description, text []byte, folder string, port int) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "folder")
	}
	files := &siteFiles{folder: folder, lastPort: port}
	fmt.Fprintf(&files.runScript, runScriptHead, d.Site)
	files.addPlatform()
	files.addRunners(d.Runners)
	if err := files.addDaemons(d); err != nil {
		return err
	}
	files.runScript.WriteString("wait\n")
	return errors.Join(
		files.write("run.sh", files.runScript.String(), scriptMode),
		files.write("trouble.sh", faultScript, scriptMode),
		files.write("description.json", string(text), dataMode),
		files.write("names.sh", files.namesScript(d), dataMode),
	)
}

func (f *siteFiles) write(name, text string, mode os.FileMode) error {
	return errors.Wrap(os.WriteFile(filepath.Join(f.folder, name), []byte(text), mode), name)
}

// nextAddress returns the loopback address with the next port.
func (f *siteFiles) nextAddress() string {
	f.lastPort++
	return fmt.Sprintf("127.0.0.1:%d", f.lastPort)
}

// addProcess adds a process to run.sh, which writes the process ID into a file named
// after the process, for trouble.sh.
func (f *siteFiles) addProcess(name, command string) {
	fmt.Fprintf(&f.runScript, "\"$BIN\"/%s & PIDS=\"$PIDS $!\"; echo $! > %s.pid\n", command, name)
}

func (f *siteFiles) addPlatform() {
	f.platform = f.nextAddress()
	f.addProcess("platform", "testplatform --http "+f.platform)
	f.runScript.WriteString("sleep 0.5\n")
}

func (f *siteFiles) addRunners(runners []description.Runner) {
	for _, r := range runners {
		command := fmt.Sprintf("testrunner --name %s --http %s --platform %s --room %d", r.Name, f.nextAddress(), f.platform, r.Capacity)
		f.addProcess(r.Name, command)
	}
}

// addDaemons writes the settings of all controllers and routers and adds them
// to run.sh.
func (f *siteFiles) addDaemons(d *description.Description) error {
	var all []settings.Settings
	for _, member := range d.Controllers {
		set := f.settingsOf(d.Site, member)
		set.Data = filepath.Join("data", member.Name)
		f.controllers = append(f.controllers, set.HTTP)
		all = append(all, set)
	}
	for _, member := range d.Routers {
		set := f.settingsOf(d.Site, member)
		f.routers = append(f.routers, set.HTTP)
		all = append(all, set)
	}
	var seeds []string
	for _, set := range all[:min(seedCount, len(d.Controllers))] {
		seeds = append(seeds, set.Address)
	}
	for i, set := range all {
		set.Seeds = seeds
		program := "router"
		if i < len(d.Controllers) {
			program = "controller"
		}
		if err := f.addDaemon(program, set); err != nil {
			return err
		}
	}
	return nil
}

func (f *siteFiles) settingsOf(site string, member description.Member) settings.Settings {
	return settings.Settings{
		Site: site, Name: member.Name, Zone: member.Zone,
		Address: f.nextAddress(), HTTP: f.nextAddress(), Platform: f.platform,
	}
}

func (f *siteFiles) addDaemon(program string, set settings.Settings) error {
	text, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encoding the settings of %s", set.Name)
	}
	name := set.Name + ".json"
	f.addProcess(set.Name, fmt.Sprintf("%s --settings %s", program, name))
	return f.write(name, string(text)+"\n", dataMode)
}

// namesScript returns the text of names.sh, which sets the addresses and names that an
// operator needs.
func (f *siteFiles) namesScript(d *description.Description) string {
	var witnesses []string
	for _, member := range d.Controllers[:min(witnessCount, len(d.Controllers))] {
		witnesses = append(witnesses, member.Name)
	}
	return fmt.Sprintf("CONTROLLERS=%s\nROUTERS=%s\nWITNESSES=%s\nBACKUP=%s\nPLATFORM=%s\n",
		strings.Join(f.controllers, ","), strings.Join(f.routers, ","), strings.Join(witnesses, ","),
		d.Controllers[1].Name, f.platform)
}
