package testbackend

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/router"
)

// clientRequest is the body of a request to a service.
type clientRequest struct {
	Adapter string `json:"adapter"`
	ID      string `json:"id"`
	Input   struct {
		Text string `json:"text"`
	} `json:"input"`
	Model string `json:"model"`
}

// send sends a request to one router and checks the response.
func (c *Client) send(address string, workload Workload, request clientRequest) Outcome {
	body, err := json.Marshal(request)
	if err != nil {
		panic("testbackend: encoding a request failed: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	// The client alone decides whether to retry, never the transport.
	url := "http://" + address + "/services/" + workload.Service
	response, wrote, err := c.transport.Do(ctx, http.MethodPost, url, body, func() bool { return true })
	if err != nil && !wrote {
		c.reportEnded(workload, request.ID, OutcomeRouterUnreachable, true)
		return OutcomeRouterUnreachable
	}
	if err != nil {
		c.reportEnded(workload, request.ID, OutcomeBrokenBeforeResponse, false)
		return OutcomeBrokenBeforeResponse
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode != http.StatusOK:
		return c.readError(response.Body, workload, request.ID)
	case workload.Streaming:
		return c.readStream(response.Body, workload, request.ID)
	default:
		return c.readResponse(response.Body, workload, request.ID)
	}
}

// reportEnded reports to the checker how a request ended.
func (c *Client) reportEnded(workload Workload, id string, outcome Outcome, notExecuted bool) {
	c.Checker.RequestEnded(c.NowMs(), workload.Service, id, string(outcome), notExecuted)
}

// reportInvalid reports a response to the checker that violates a rule.
func (c *Client) reportInvalid(workload Workload, id, detail string) {
	c.Checker.InvalidResponse(c.NowMs(), workload.Service, id, detail)
}

// readError reads an error response of a router and returns its error kind as the
// outcome, or OutcomeMalformed if the response cannot be decoded.
func (c *Client) readError(body io.Reader, workload Workload, id string) Outcome {
	var response errkind.ErrorBody
	text, _ := io.ReadAll(body)
	if json.Unmarshal(text, &response) != nil {
		c.reportInvalid(workload, id, "the error response cannot be decoded")
		return OutcomeMalformed
	}
	outcome := Outcome(response.Kind)
	c.reportEnded(workload, id, outcome, response.Kind.Response().NotExecuted)
	return outcome
}

// readResponse reads a response without streaming, which must be the runner's complete
// one.
func (c *Client) readResponse(body io.Reader, workload Workload, id string) Outcome {
	text, err := io.ReadAll(body)
	if err != nil {
		return OutcomeBrokenInResponse
	}
	var response router.RunResponse
	if json.Unmarshal(text, &response) != nil || !isResponseTo(response, id) {
		c.reportInvalid(workload, id, "the response is incomplete or belongs to another request")
		return OutcomeInvalid
	}
	c.reportEnded(workload, id, OutcomeCompleted, false)
	return OutcomeCompleted
}

// isResponseTo reports whether a response is the one that RunnerServer writes to a
// request.
func isResponseTo(response router.RunResponse, id string) bool {
	return response.Request == id && strings.Contains(string(response.Answer), responseText(id)+`"`)
}

// readStream reads a streamed response. A stream that looks complete must be complete.
func (c *Client) readStream(body io.Reader, workload Workload, id string) Outcome {
	lines := bufio.NewScanner(body)
	chunks, incarnation := 0, ""
	for lines.Scan() {
		var line router.RunResponse
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			// The last line of a stream that broke off may be incomplete.
			break
		}
		if incarnation == "" {
			incarnation = line.Incarnation
		}
		if detail := streamFault(line, id, incarnation, chunks); detail != "" {
			c.reportInvalid(workload, id, detail)
			return OutcomeInvalid
		}
		if line.End != nil {
			return OutcomeCompleted
		}
		chunks++
	}
	if lines.Err() == nil {
		c.reportInvalid(workload, id, "the stream ended without an error but also without its end line")
		return OutcomeInvalid
	}
	return OutcomeBrokenInStream
}

// streamFault returns what is wrong with a line of a stream, or "" if nothing is. The
// argument chunks is the number of chunks before the line.
func streamFault(line router.RunResponse, id, incarnation string, chunks int) string {
	switch {
	case line.Request != id || line.Incarnation != incarnation:
		return "the stream contains chunks of two executions"
	case line.End != nil && *line.End != chunks:
		return "the end line does not match the number of chunks"
	case line.End == nil && line.Chunk != chunks+1:
		return "a chunk was skipped or repeated"
	}
	return ""
}
