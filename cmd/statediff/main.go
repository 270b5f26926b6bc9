// Command statediff compares the states that two daemons report. It exits with 0 if
// they agree, 1 if they differ, and 2 if they cannot be compared.
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
	cli.Setup("statediff", "Prints the differences between the states that two daemons report; exits with 0 if they agree, 1 if they differ, and 2 if they cannot be compared.")
	var leftAddress, rightAddress string
	asJSON := false
	flaggy.String(&leftAddress, "", "left", "HTTP address of a controller or router")
	flaggy.String(&rightAddress, "", "right", "HTTP address of another controller or router")
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
		cli.UsageError("printing the differences failed: %v", err)
	}
}

func printText(left, right string, differences []statediff.Difference) {
	for _, d := range differences {
		fmt.Println(d.Field)
		fmt.Printf("  %s: %s%s\n", left, d.Left, ageText(d.LeftAgeMs))
		fmt.Printf("  %s: %s%s\n", right, d.Right, ageText(d.RightAgeMs))
	}
}

// ageText returns an age as text, or "" if it is unknown.
func ageText(ms int64) string {
	if ms < 0 {
		return ""
	}
	return fmt.Sprintf("  (%d ms old)", ms)
}

// readStatus reads the state that the daemon at an address reports, or ends the
// program. The flag's name is part of the error message.
func readStatus(flag, address string) statediff.View {
	if address == "" {
		cli.UsageError("%s: must be given", flag)
	}
	code, text, err := operatorclient.Call(http.MethodGet, address, "/status", "", nil)
	if err != nil {
		cli.UsageError("%s: %v", flag, err)
	}
	if code != http.StatusOK {
		cli.UsageError("%s: %s responded with status %d", flag, address, code)
	}
	view, err := statediff.Read(text)
	if err != nil {
		cli.UsageError("%s: %v", flag, err)
	}
	return view
}
