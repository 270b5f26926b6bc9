package site

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"myrtlewinch/description"
	"myrtlewinch/settings"
)

// Write writes the settings of a site's processes into a folder, with a shell
// script that runs them. The script is run by a person; no program here
// starts another.
func Write(d *description.Description, text []byte, folder string, port int) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	address := func() string { port++; return fmt.Sprintf("127.0.0.1:%d", port) }
	platform := address()
	var run strings.Builder
	fmt.Fprintf(&run, "#!/bin/sh\n# Runs the site %s on this machine until interrupted. BIN is the folder of the programs.\n", d.Site)
	run.WriteString("cd \"$(dirname \"$0\")\" || exit 1\nBIN=${BIN:-../bin}\ntrap 'trap - INT TERM; kill $PIDS; wait' INT TERM\n")
	start := func(format string, args ...any) {
		fmt.Fprintf(&run, "\"$BIN\"/"+format+" & PIDS=\"$PIDS $!\"\n", args...)
	}
	start("platform --http %s", platform)
	run.WriteString("sleep 0.5\n")
	for _, r := range d.Runners {
		start("runner --name %s --http %s --platform %s --room %d", r.Name, address(), platform, r.Room)
	}
	var controllers, routers, witnesses []string
	var all []settings.Settings
	for i, member := range append(append([]description.Member{}, d.Controllers...), d.Routers...) {
		s := settings.Settings{Site: d.Site, Name: member.Name, Zone: member.Zone, Address: address(), Http: address(), Platform: platform}
		if i < len(d.Controllers) {
			s.Data = filepath.Join("data", member.Name)
			controllers = append(controllers, s.Http)
			if i < 3 {
				witnesses = append(witnesses, member.Name)
			}
		} else {
			routers = append(routers, s.Http)
		}
		all = append(all, s)
	}
	for i := range all {
		for _, seed := range all[:min(3, len(d.Controllers))] {
			all[i].Seeds = append(all[i].Seeds, seed.Address)
		}
		part := "router"
		if all[i].Data != "" {
			part = "controller"
		}
		text, err := json.MarshalIndent(all[i], "", "  ")
		if err != nil {
			return err
		}
		name := all[i].Name + ".json"
		if err := os.WriteFile(filepath.Join(folder, name), append(text, '\n'), 0o644); err != nil {
			return err
		}
		start("%s --settings %s", part, name)
	}
	run.WriteString("wait\n")
	if err := os.WriteFile(filepath.Join(folder, "run.sh"), []byte(run.String()), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "description.json"), text, 0o644); err != nil {
		return err
	}
	names := fmt.Sprintf("CONTROLLERS=%s\nROUTERS=%s\nWITNESSES=%s\nBACKUP=%s\nPLATFORM=%s\n",
		strings.Join(controllers, ","), strings.Join(routers, ","), strings.Join(witnesses, ","), d.Controllers[1].Name, platform)
	return os.WriteFile(filepath.Join(folder, "names.sh"), []byte(names), 0o644)
}
