// Program statediff shows where two daemons believe different things. It exits
// 0 where they agree, 1 where they differ, 2 where it can't tell.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/native/operatorclient"
	"myrtlewinch/internal/native/statediff"
)

// report is what --json prints.
type report struct {
	Differences []statediff.Difference `json:"differences"`
	Left        string                 `json:"left"`
	Right       string                 `json:"right"`
}

func main() {
	cli.Setup("statediff", "Shows what two daemons believe differently; exits 0 alike, 1 different, 2 could not tell.")
	var leftAddress, rightAddress string
	asJSON := false
	flaggy.String(&leftAddress, "", "left", "http address of a controller or router")
	flaggy.String(&rightAddress, "", "right", "http address of another")
	flaggy.Bool(&asJSON, "", "json", "print the differences as JSON")
	cli.Parse()
	left, right := readStatus("left", leftAddress), readStatus("right", rightAddress)
	differences := statediff.Compare(left, right)
	if asJSON {
		printJSON(report{Differences: differences, Left: left.Name, Right: right.Name})
	} else {
		printText(left.Name, right.Name, differences)
	}
	if len(differences) > 0 {
		os.Exit(cli.ExitFailed)
	}
}

func printJSON(r report) {
	if r.Differences == nil {
		r.Differences = []statediff.Difference{}
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		cli.UsageError("could not print: %v", err)
	}
}

func printText(left, right string, differences []statediff.Difference) {
	for _, d := range differences {
		fmt.Println(d.Field)
		fmt.Printf("  %s: %s%s\n", left, d.Left, ageText(d.LeftAgeMs))
		fmt.Printf("  %s: %s%s\n", right, d.Right, ageText(d.RightAgeMs))
	}
}

// ageText gives an age in words, or nothing where it is unknown.
func ageText(ms int64) string {
	if ms < 0 {
		return ""
	}
	return fmt.Sprintf("  (%d ms old)", ms)
}

// readStatus reads what the daemon at an address believes, or ends the program.
// Flag names the address in messages.
func readStatus(flag, address string) statediff.View {
	if address == "" {
		cli.UsageError("%s: must be given", flag)
	}
	code, text, err := operatorclient.Call(http.MethodGet, address, "/status", "", nil)
	if err != nil {
		cli.UsageError("%s: %v", flag, err)
	}
	if code != http.StatusOK {
		cli.UsageError("%s: %s answered %d", flag, address, code)
	}
	belief, err := statediff.Read(text)
	if err != nil {
		cli.UsageError("%s: %v", flag, err)
	}
	return belief
}
