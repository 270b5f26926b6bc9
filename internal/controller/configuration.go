package controller

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// configRow is the key of the replicated row that holds the active configuration. The
// key is kept for compatibility with earlier releases.
const configRow = "map"

// activeConfig is the active configuration as text, compressed and parsed. Version
// 0 means that there is none.
type activeConfig struct {
	version uint64
	// sum is the hash of text.
	sum  string
	text string
	// packed is the compressed text, as it is replicated and sent to routers.
	packed []byte
	parsed *config.Configuration
}

// storedConfig is the JSON value of the configRow.
type storedConfig struct {
	Version uint64 `json:"version"`
	Packed  []byte `json:"packed"`
}

// configState is the active configuration as this controller knows it.
type configState struct {
	active activeConfig
	// row is the text of the configRow that active was read from.
	row string
}

// load reads the configuration from the replicated state if the row has changed
// since the last read. If reading the row fails, the state stays as it is.
func (s *configState) load(h consensus.Host, format ConfigFormat) {
	row := h.Row(configRow)
	if row == s.row {
		return
	}
	if row == "" {
		*s = configState{}
		return
	}
	active, err := readActiveConfig(row, format)
	if err != nil {
		h.Logf("reading the active configuration failed: %v", err)
		return
	}
	*s = configState{active, row}
}

func readActiveConfig(row string, format ConfigFormat) (activeConfig, error) {
	var stored storedConfig
	if err := json.Unmarshal([]byte(row), &stored); err != nil {
		return activeConfig{}, err
	}
	text, err := protocol.Decompress(stored.Packed)
	if err != nil {
		return activeConfig{}, err
	}
	parsed, faults := format.Parse([]byte(text))
	if len(faults) > 0 {
		return activeConfig{}, errors.New(strings.Join(faults, "; "))
	}
	return activeConfig{stored.Version, protocol.Digest(text), text, stored.Packed, parsed}, nil
}

// handleReadConfig replies to an operator with the active configuration.
func (c *Controller) handleReadConfig(h consensus.Host, request ReadConfig) {
	active := &c.config.active
	switch {
	case !c.mayAnswerOperators(h):
		c.redirectToPrimary(h, request.ID)
	case active.version == 0:
		reject(h, request.ID, protocol.Rejection{Kind: errkind.NotAccepted, Detail: "no configuration is active yet"})
	default:
		reply(h, request.ID, ConfigText{Version: active.version, Text: active.text})
	}
}
