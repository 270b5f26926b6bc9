// Program comparison shows where two daemons believe different things. It
// exits 0 where they are alike, 1 where they differ, 2 where it can't tell.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/native/statediff"
	"myrtlewinch/internal/simulation/localcluster"
)

func main() {
	cli.Setup("statediff", "Shows what two daemons believe differently; exits 0 alike, 1 different, 2 could not tell.")
	var left, right string
	machine := false
	flaggy.String(&left, "", "left", "http address of a controller or router")
	flaggy.String(&right, "", "right", "http address of another")
	flaggy.Bool(&machine, "", "json", "print the differences as JSON")
	cli.Parse()
	l, r := read("left", left), read("right", right)
	differences := statediff.Compare(l, r)
	if machine {
		if differences == nil {
			differences = []statediff.Difference{}
		}
		_ = json.NewEncoder(os.Stdout).Encode(map[string]any{"left": l.Name, "right": r.Name, "differences": differences})
	} else {
		for _, d := range differences {
			fmt.Printf("%s\n  %s: %s%s\n  %s: %s%s\n", d.Field, l.Name, d.Left, age(d.LeftAgeMs), r.Name, d.Right, age(d.RightAgeMs))
		}
	}
	if len(differences) > 0 {
		os.Exit(cli.ExitFailed)
	}
}

func age(ms int64) string {
	if ms < 0 {
		return ""
	}
	return fmt.Sprintf("  (%d ms old)", ms)
}

func read(field, address string) statediff.Belief {
	if address == "" {
		cli.UsageError("%s: must be given", field)
	}
	code, text, err := localcluster.Call(http.MethodGet, address, "/status", "", nil)
	if err != nil {
		cli.UsageError("%s: %v", field, err)
	}
	if code != http.StatusOK {
		cli.UsageError("%s: %s answered %d", field, address, code)
	}
	belief, err := statediff.Read(text)
	if err != nil {
		cli.UsageError("%s: %v", field, err)
	}
	return belief
}
