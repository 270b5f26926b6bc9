// Package settings is how a daemon learns its place: a file, or flags, which
// go first. Every field is checked and a bad one is named; nothing is started.
package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// Version is what --version prints.
const Version = "0.1.0"

// Settings is the place of one process.
type Settings struct {
	Site     string   `json:"site"`
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Address  string   `json:"address"`
	HTTP     string   `json:"http"`
	Seeds    []string `json:"seeds"`
	Platform string   `json:"platform"`
	Data     string   `json:"data,omitempty"`
}

// Flags is the command line of a daemon.
type Flags struct {
	file  string
	seeds string
	given Settings
}

// Register puts the flags on the default parser.
func (f *Flags) Register(data bool) {
	flaggy.String(&f.file, "s", "settings", "settings file (JSON); flags go before it")
	flaggy.String(&f.given.Site, "", "site", "name of the site")
	flaggy.String(&f.given.Name, "", "name", "name of this daemon, alone of its kind at the site")
	flaggy.String(&f.given.Zone, "", "zone", "zone of this machine")
	flaggy.String(&f.given.Address, "", "address", "IP:port for the site's own daemons")
	flaggy.String(&f.given.HTTP, "", "http", "IP:port for callers and operators")
	flaggy.String(&f.seeds, "", "seeds", "up to three addresses of other daemons, with commas")
	flaggy.String(&f.given.Platform, "", "platform", "IP:port of the platform's list of runners")
	if data {
		flaggy.String(&f.given.Data, "", "data", "the one folder for files")
	}
}

// Read gives the checked settings.
func (f *Flags) Read(data bool) (Settings, error) {
	var s Settings
	if f.file != "" {
		text, err := os.ReadFile(f.file)
		if err != nil {
			return s, errors.Wrap(err, "settings")
		}
		if s, err = Parse(text); err != nil {
			return s, errors.Wrapf(err, "settings %s", f.file)
		}
	}
	given := f.given
	for _, pair := range []struct{ to, from *string }{
		{&s.Site, &given.Site}, {&s.Name, &given.Name}, {&s.Zone, &given.Zone}, {&s.Address, &given.Address},
		{&s.HTTP, &given.HTTP}, {&s.Platform, &given.Platform}, {&s.Data, &given.Data},
	} {
		if *pair.from != "" {
			*pair.to = *pair.from
		}
	}
	if f.seeds != "" {
		s.Seeds = strings.Split(f.seeds, ",")
	}
	return s, s.Validate(data)
}

// Parse reads a settings file; an unknown field is named.
func Parse(text []byte) (Settings, error) {
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, err
	}
	return s, nil
}

// Validate names the first bad field.
func (s Settings) Validate(data bool) error {
	for _, field := range []struct{ name, value string }{{"site", s.Site}, {"name", s.Name}, {"zone", s.Zone}} {
		if field.value == "" {
			return errors.Newf("%s: must be given", field.name)
		}
		if strings.ContainsAny(field.value, "/ \t\n") || len(field.value) > 64 {
			return errors.Newf("%s: %q is not a plain name", field.name, field.value)
		}
	}
	for _, field := range []struct{ name, value string }{
		{"address", s.Address}, {"http", s.HTTP}, {"platform", s.Platform},
	} {
		if err := checkAddress(field.name, field.value); err != nil {
			return err
		}
	}
	if len(s.Seeds) == 0 || len(s.Seeds) > 3 {
		return errors.Newf("seeds: must be one to three addresses, got %d", len(s.Seeds))
	}
	for i, seed := range s.Seeds {
		if err := checkAddress("seeds", seed); err != nil {
			return err
		}
		if slices.Contains(s.Seeds[:i], seed) {
			return errors.Newf("seeds: %s is given twice", seed)
		}
	}
	if data && s.Data == "" {
		return errors.New("data: must be given")
	}
	if !data && s.Data != "" {
		return errors.New("data: this daemon keeps no files")
	}
	return nil
}

func checkAddress(field, value string) error {
	if value == "" {
		return errors.Newf("%s: must be given", field)
	}
	at, err := netip.ParseAddrPort(value)
	if err != nil || at.Port() == 0 {
		return errors.Newf("%s: %q is not IP:port", field, value)
	}
	return nil
}
