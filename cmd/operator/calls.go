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

// callPrimary calls the controllers in turn until one responds as the primary, and
// prints its response. It ends the program if a controller rejects the request for
// another reason than that it is not the primary, if a change was sent and got no
// response, or if no controller responds as the primary.
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
			lastFailure = fmt.Sprintf("%s is not the primary (it reports %q as the primary)", address, rejection.Primary)
			continue
		}
		printRejection(rejection)
		os.Exit(cli.ExitFailed)
	}
	cli.Fatal("no controller responded as the primary: %s", lastFailure)
}

// failIfSent ends the program if a change may have taken effect although no
// response arrived. A request whose connection was never opened has no effect.
func failIfSent(method, address string, err error) {
	var networkError *net.OpError
	neverSent := errors.As(err, &networkError) && networkError.Op == "dial"
	if method != http.MethodGet && !neverSent {
		cli.Fatal("%s: no response (%v); the request may have taken effect: read the description to find out", address, err)
	}
}

func printRejection(rejection errkind.ErrorBody) {
	fmt.Fprintf(os.Stderr, "%s: %s\n", rejection.Kind, rejection.Detail)
	printFaults(rejection.Faults)
	if rejection.Revision > 0 {
		fmt.Fprintf(os.Stderr, "  the active revision is %d\n", rejection.Revision)
	}
}

// bootstrapRequest is the body of /found.
type bootstrapRequest struct {
	Witnesses []string `json:"witnesses"`
	Backup    string   `json:"backup"`
}

// recoverRequest is the body of /recover.
type recoverRequest struct {
	bootstrapRequest
	Change   uint64 `json:"change"`
	Revision uint64 `json:"revision"`
}

// bootstrapSite bootstraps the site on the first controller listed.
func bootstrapSite() { callFirst("/found", newBootstrapRequest()) }

// recoverSite continues the site from the replica of the first controller listed.
func recoverSite() {
	callFirst("/recover", recoverRequest{bootstrapRequest: newBootstrapRequest(), Change: change, Revision: revision})
}

func newBootstrapRequest() bootstrapRequest {
	return bootstrapRequest{Witnesses: cli.SplitList(witnesses), Backup: backup}
}

// callFirst posts a request to the first controller listed and to no other.
func callFirst(path string, request any) {
	body, err := json.Marshal(request)
	if err != nil {
		cli.Fatal("%v", err)
	}
	controllers = cli.SplitList(controllers)[0]
	callPrimary(http.MethodPost, path, body)
}

// show prints a page of the first controller that responds.
func show(path string) {
	for _, address := range cli.SplitList(controllers) {
		status, text, err := operatorclient.Call(http.MethodGet, address, path, "", nil)
		if err == nil && status == http.StatusOK {
			printIndented(text)
			return
		}
	}
	cli.Fatal("no controller responded")
}

// status prints the status page of every controller that responds.
func status() {
	responded := false
	for _, address := range cli.SplitList(controllers) {
		status, text, err := operatorclient.Call(http.MethodGet, address, "/status", "", nil)
		if err != nil || status != http.StatusOK {
			fmt.Fprintf(os.Stderr, "%s: no response\n", address)
			continue
		}
		responded = true
		printIndented(text)
	}
	if !responded {
		cli.Fatal("no controller responded")
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
