package localcluster

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/native/operatorclient"
)

const (
	// witnessCount is how many controllers a site is bootstrapped with.
	witnessCount = 3
	// retryPause is the pause between two attempts of retryFor.
	retryPause = 100 * time.Millisecond
)

// bootstrapRequest is the body of POST /found. Backup is the controller that gets the
// second replica.
type bootstrapRequest struct {
	Backup    string   `json:"backup"`
	Witnesses []string `json:"witnesses"`
}

// Bootstrap bootstraps the site with its first three controllers as witnesses and the
// second one as follower. It retries, because the controllers must first know each
// other.
func (c *Cluster) Bootstrap(within time.Duration) error {
	var request bootstrapRequest
	for _, daemon := range c.Controllers[:witnessCount] {
		request.Witnesses = append(request.Witnesses, daemon.Settings.Name)
	}
	request.Backup = request.Witnesses[1]
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "bootstrap")
	}
	return retryFor(within, func() error {
		status, text, err := operatorclient.Call(http.MethodPost, c.Controllers[0].Settings.HTTP, "/found", "", body)
		if err == nil && status != http.StatusOK {
			err = errors.Newf("bootstrap rejected: %s", text)
		}
		return err
	})
}

// SubmitDescription submits a description, which replaces the revision base, to all
// controllers until the primary accepts it. It also succeeds if the description is
// already active: if the primary is lost during an earlier attempt, the outcome of
// that attempt is unknown, and the base is stale if it was accepted.
func (c *Cluster) SubmitDescription(base string, text []byte, within time.Duration) error {
	return retryFor(within, func() error {
		var rejections error
		for _, daemon := range c.Controllers {
			err := submitTo(daemon, base, text)
			if err == nil {
				return nil
			}
			rejections = errors.CombineErrors(rejections, errors.Wrap(err, daemon.Settings.Name))
		}
		return rejections
	})
}

// submitTo submits a description to one controller.
func submitTo(daemon *Daemon, base string, text []byte) error {
	status, response, err := operatorclient.Call(http.MethodPut, daemon.Settings.HTTP, "/description", base, text)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusPreconditionFailed && isActive(daemon, text):
		return nil
	}
	return errors.Newf("status %d: %s", status, response)
}

// isActive reports whether a controller returns the description as the active one.
func isActive(daemon *Daemon, text []byte) bool {
	status, active, err := operatorclient.Call(http.MethodGet, daemon.Settings.HTTP, "/description", "", nil)
	return err == nil && status == http.StatusOK && bytes.Equal(active, text)
}

// WaitReady waits until every router reports that it is ready to forward requests.
func (c *Cluster) WaitReady(within time.Duration) error {
	return retryFor(within, func() error {
		for _, daemon := range c.Routers {
			status, text, err := operatorclient.Call(http.MethodGet, daemon.Settings.HTTP, "/soundness", "", nil)
			if err != nil {
				return err
			}
			if status != http.StatusOK {
				return errors.Newf("%s: %s", daemon.Settings.Name, text)
			}
		}
		return nil
	})
}

// retryFor retries a function until it succeeds, or returns its last error when the
// time is up.
func retryFor(within time.Duration, attempt func() error) error {
	end := time.Now().Add(within)
	for {
		err := attempt()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(retryPause)
	}
}

// readStatus reads and decodes the status page of a daemon.
func readStatus(daemon *Daemon, into any) error {
	_, text, err := operatorclient.Call(http.MethodGet, daemon.Settings.HTTP, "/status", "", nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}
