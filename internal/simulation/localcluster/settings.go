package localcluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/settings"
)

// faultScript is a script that hits the running processes one after another; what
// came of it is for the client and the status pages to show.
const faultScript = `#!/bin/sh
# Stops, continues, kills and starts daemons of the site that run.sh runs here.
# BIN is the folder of the programs. Only processes that run.sh started are hit.
cd "$(dirname "$0")" || exit 1
BIN=${BIN:-../bin}
. ./names.sh
say() { echo "$(date +%T) $*"; }
hit() { kill -"$1" "$(cat "$2.pid")"; }
primary() { "$BIN"/operator status --controllers "$CONTROLLERS" 2>/dev/null | awk -F'"' '$2=="name"{n=$4} $2=="active"&&/true/{print n; exit}'; }
gone() { n=0; while [ $n -lt 30 ] && kill -0 "$(cat "$1.pid")" 2>/dev/null; do sleep 0.1; n=$((n+1)); done; }
again() { gone "$2"; "$BIN"/"$1" --settings "$2.json" & echo $! > "$2.pid"; STARTED="$STARTED $!"; }
trap 'kill $STARTED 2>/dev/null' INT TERM
P=$(primary); say "stops the primary, $P, for 6 s"
hit STOP "$P"; sleep 6; hit CONT "$P"; sleep 4
say "stops edge-1 for 3 s"
hit STOP edge-1; sleep 3; hit CONT edge-1; sleep 2
P=$(primary); say "kills the primary, $P, and starts it a second later"
hit KILL "$P"; sleep 1; again controller "$P"; sleep 6
say "kills edge-2 and starts it at once"
hit KILL edge-2; again router edge-2; sleep 4
say "stops edge-3 as planned and starts it"
hit TERM edge-3; sleep 3; again router edge-3; sleep 4
say "the primary is now $(primary); interrupt to end what was started here"
wait
`

// WriteSettings writes the settings of a site's processes into a folder, with a shell
// script that runs them. The script is run by a person; no program here
// starts another.
func WriteSettings(d *description.Description, text []byte, folder string, port int) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	address := func() string { port++; return fmt.Sprintf("127.0.0.1:%d", port) }
	platform := address()
	var run strings.Builder
	fmt.Fprintf(&run, "#!/bin/sh\n# Runs the site %s on this machine until interrupted. BIN is the folder of the programs.\n", d.Site)
	run.WriteString("cd \"$(dirname \"$0\")\" || exit 1\nBIN=${BIN:-../bin}\ntrap 'trap - INT TERM; kill $PIDS; wait' INT TERM\n")
	// Each process's number lies in a file of its name, for trouble.sh.
	start := func(name, format string, args ...any) {
		fmt.Fprintf(&run, "\"$BIN\"/"+format+" & PIDS=\"$PIDS $!\"; echo $! > %s.pid\n", append(args, name)...)
	}
	start("platform", "testplatform --http %s", platform)
	run.WriteString("sleep 0.5\n")
	for _, r := range d.Runners {
		start(r.Name, "testrunner --name %s --http %s --platform %s --room %d", r.Name, address(), platform, r.Room)
	}
	var controllers, routers, witnesses []string
	var all []settings.Settings
	for i, member := range append(append([]description.Member{}, d.Controllers...), d.Routers...) {
		s := settings.Settings{Site: d.Site, Name: member.Name, Zone: member.Zone, Address: address(), HTTP: address(), Platform: platform}
		if i < len(d.Controllers) {
			s.Data = filepath.Join("data", member.Name)
			controllers = append(controllers, s.HTTP)
			if i < 3 {
				witnesses = append(witnesses, member.Name)
			}
		} else {
			routers = append(routers, s.HTTP)
		}
		all = append(all, s)
	}
	for i := range all {
		for _, seed := range all[:min(3, len(d.Controllers))] {
			all[i].Seeds = append(all[i].Seeds, seed.Address)
		}
		program := "router"
		if all[i].Data != "" {
			program = "controller"
		}
		text, err := json.MarshalIndent(all[i], "", "  ")
		if err != nil {
			return err
		}
		name := all[i].Name + ".json"
		if err := os.WriteFile(filepath.Join(folder, name), append(text, '\n'), 0o644); err != nil {
			return err
		}
		start(all[i].Name, "%s --settings %s", program, name)
	}
	run.WriteString("wait\n")
	if err := os.WriteFile(filepath.Join(folder, "run.sh"), []byte(run.String()), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "trouble.sh"), []byte(faultScript), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "description.json"), text, 0o644); err != nil {
		return err
	}
	names := fmt.Sprintf("CONTROLLERS=%s\nROUTERS=%s\nWITNESSES=%s\nBACKUP=%s\nPLATFORM=%s\n",
		strings.Join(controllers, ","), strings.Join(routers, ","), strings.Join(witnesses, ","), d.Controllers[1].Name, platform)
	return os.WriteFile(filepath.Join(folder, "names.sh"), []byte(names), 0o644)
}
