package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/operatorclient"
)

// callPrimary asks each controller until one answers as the primary, and prints
// its answer. It ends the program where none does.
func callPrimary(method, path string, body []byte) {
	var lastFailure string
	for _, address := range cli.SplitList(controllers) {
		status, text, err := operatorclient.Call(method, address, path, base, body)
		if err != nil {
			failIfSent(method, address, err)
			lastFailure = err.Error()
			continue
		}
		if status == http.StatusOK {
			_, _ = os.Stdout.Write(text)
			return
		}
		var rejection errkind.ErrorBody
		isErrorBody := json.Unmarshal(text, &rejection) == nil
		if isErrorBody && rejection.Kind == errkind.NotPrimary {
			lastFailure = fmt.Sprintf("%s is not the primary (it knows of %q)", address, rejection.Primary)
			continue
		}
		printRejection(rejection)
		os.Exit(cli.ExitFailed)
	}
	cli.Fatal("no controller answered as the primary: %s", lastFailure)
}

// failIfSent ends the program where a change may have taken effect although no
// answer came. A request whose connection was never opened has not.
func failIfSent(method, address string, err error) {
	var networkError *net.OpError
	neverSent := errors.As(err, &networkError) && networkError.Op == "dial"
	if method != http.MethodGet && !neverSent {
		cli.Fatal("%s: no answer (%v); it may have taken effect: read the description to find out", address, err)
	}
}

func printRejection(rejection errkind.ErrorBody) {
	fmt.Fprintf(os.Stderr, "%s: %s\n", rejection.Kind, rejection.Detail)
	printFaults(rejection.Faults)
	if rejection.Revision > 0 {
		fmt.Fprintf(os.Stderr, "  the revision in force is %d\n", rejection.Revision)
	}
}

// foundRequest is the body of /found.
type foundRequest struct {
	Witnesses []string `json:"witnesses"`
	Backup    string   `json:"backup"`
}

// recoverRequest is the body of /recover.
type recoverRequest struct {
	foundRequest
	Change   uint64 `json:"change"`
	Revision uint64 `json:"revision"`
}

// found founds the site at the first controller named.
func found() { callFirst("/found", newFoundRequest()) }

// recoverSite lets the site go on from the replica of the first controller named.
func recoverSite() {
	callFirst("/recover", recoverRequest{foundRequest: newFoundRequest(), Change: change, Revision: revision})
}

func newFoundRequest() foundRequest {
	return foundRequest{Witnesses: cli.SplitList(witnesses), Backup: backup}
}

// callFirst posts a request to the first controller named and to no other.
func callFirst(path string, request any) {
	body, err := json.Marshal(request)
	if err != nil {
		cli.Fatal("%v", err)
	}
	controllers = cli.SplitList(controllers)[0]
	callPrimary(http.MethodPost, path, body)
}

// show prints a page of the first controller that answers.
func show(path string) {
	for _, address := range cli.SplitList(controllers) {
		status, text, err := operatorclient.Call(http.MethodGet, address, path, "", nil)
		if err == nil && status == http.StatusOK {
			printIndented(text)
			return
		}
	}
	cli.Fatal("no controller answered")
}

// status prints the status page of every controller that answers.
func status() {
	answered := false
	for _, address := range cli.SplitList(controllers) {
		status, text, err := operatorclient.Call(http.MethodGet, address, "/status", "", nil)
		if err != nil || status != http.StatusOK {
			fmt.Fprintf(os.Stderr, "%s: no answer\n", address)
			continue
		}
		answered = true
		printIndented(text)
	}
	if !answered {
		cli.Fatal("no controller answered")
	}
}

// printIndented prints JSON with indentation, and any other text as it is.
func printIndented(text []byte) {
	var out bytes.Buffer
	if json.Indent(&out, text, "", "  ") != nil {
		out.Write(text)
	}
	fmt.Println(out.String())
}
