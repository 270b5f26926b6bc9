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

// send sends a request to one router and checks the answer.
func (c *Client) send(address string, workload Workload, request clientRequest) Outcome {
	body, err := json.Marshal(request)
	if err != nil {
		panic("testbackend: a request can't be encoded: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	// Sending again is the client's decision, never the transport's.
	url := "http://" + address + "/services/" + workload.Service
	response, wrote, err := c.transport.Do(ctx, http.MethodPost, url, body, func() bool { return true })
	if err != nil && !wrote {
		c.ended(workload, request.ID, OutcomeNotReached, true)
		return OutcomeNotReached
	}
	if err != nil {
		c.ended(workload, request.ID, OutcomeBrokeBeforeAnswer, false)
		return OutcomeBrokeBeforeAnswer
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode != http.StatusOK:
		return c.readError(response.Body, workload, request.ID)
	case workload.Streaming:
		return c.readStream(response.Body, workload, request.ID)
	default:
		return c.readAnswer(response.Body, workload, request.ID)
	}
}

// ended reports to the checker how a request ended.
func (c *Client) ended(workload Workload, id string, outcome Outcome, dropped bool) {
	c.Checker.RequestEnded(c.NowMs(), workload.Service, id, string(outcome), dropped)
}

// invalid reports to the checker an answer that breaks a rule.
func (c *Client) invalid(workload Workload, id, detail string) {
	c.Checker.InvalidAnswer(c.NowMs(), workload.Service, id, detail)
}

// readError reads a router's answer with an error kind.
func (c *Client) readError(body io.Reader, workload Workload, id string) Outcome {
	var answer errkind.ErrorBody
	text, _ := io.ReadAll(body)
	if json.Unmarshal(text, &answer) != nil {
		c.invalid(workload, id, "an answer that is neither the runner's nor a kind")
		return OutcomeMalformed
	}
	outcome := Outcome(answer.Kind)
	c.ended(workload, id, outcome, answer.Kind.Response().NotExecuted)
	return outcome
}

// readAnswer reads a plain answer, which must be the runner's whole one.
func (c *Client) readAnswer(body io.Reader, workload Workload, id string) Outcome {
	text, err := io.ReadAll(body)
	if err != nil {
		return OutcomeBrokeInAnswer
	}
	var answer router.RunResponse
	if json.Unmarshal(text, &answer) != nil || !answers(answer, id) {
		c.invalid(workload, id, "not the whole answer to this request")
		return OutcomeWrong
	}
	c.ended(workload, id, OutcomeAnswered, false)
	return OutcomeAnswered
}

// answers reports whether a plain answer is to a request, as RunnerServer writes
// them.
func answers(answer router.RunResponse, id string) bool {
	return answer.Request == id && strings.Contains(string(answer.Answer), answerText(id)+`"`)
}

// readStream reads a streamed answer: one that looks finished must be whole.
func (c *Client) readStream(body io.Reader, workload Workload, id string) Outcome {
	lines := bufio.NewScanner(body)
	pieces, incarnation := 0, ""
	for lines.Scan() {
		var line router.RunResponse
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			// The last line of a stream that broke may be torn.
			break
		}
		if incarnation == "" {
			incarnation = line.Incarnation
		}
		if detail := streamFault(line, id, incarnation, pieces); detail != "" {
			c.invalid(workload, id, detail)
			return OutcomeWrong
		}
		if line.End != nil {
			return OutcomeAnswered
		}
		pieces++
	}
	if lines.Err() == nil {
		c.invalid(workload, id, "a stream looked finished without its end mark")
		return OutcomeWrong
	}
	return OutcomeBrokeInStream
}

// streamFault says what is wrong with the next line of a stream after so many
// pieces, or nothing.
func streamFault(line router.RunResponse, id, incarnation string, pieces int) string {
	switch {
	case line.Request != id || line.Incarnation != incarnation:
		return "pieces of two runs"
	case line.End != nil && *line.End != pieces:
		return "the end mark does not fit the pieces"
	case line.End == nil && line.Chunk != pieces+1:
		return "a piece was skipped or repeated"
	}
	return ""
}
