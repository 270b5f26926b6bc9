// Package settings reads the settings of a daemon of the own interface, from a
// JSON file and from flags. A flag replaces the value of the file.
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

const (
	// maxNameBytes bounds the names of sites, daemons and zones.
	maxNameBytes = 64
	// maxSeeds bounds the seeds; more are of no use.
	maxSeeds = 3
)

// Settings are those of one process.
type Settings struct {
	// Site is the name of the site, Name that of this daemon, unique among those
	// of its kind, and Zone the failure domain of its machine.
	Site string `json:"site"`
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is the IP:port for messages of peers, HTTP that for callers and
	// operators.
	Address string `json:"address"`
	HTTP    string `json:"http"`
	// Seeds are addresses of other daemons, at which peers are looked for.
	Seeds []string `json:"seeds"`
	// Platform is the IP:port of the platform's list of runners.
	Platform string `json:"platform"`
	// Data is the data folder; only controllers have one.
	Data string `json:"data,omitempty"`
}

// Flags are the command-line flags of a daemon.
type Flags struct {
	file  string
	seeds string
	given Settings
}

// Register registers the flags with the default parser. HasData says that the
// daemon has a data folder.
func (f *Flags) Register(hasData bool) {
	flaggy.String(&f.file, "s", "settings", "settings file (JSON); flags go before it")
	flaggy.String(&f.given.Site, "", "site", "name of the site")
	flaggy.String(&f.given.Name, "", "name", "name of this daemon, alone of its kind at the site")
	flaggy.String(&f.given.Zone, "", "zone", "zone of this machine")
	flaggy.String(&f.given.Address, "", "address", "IP:port for the site's own daemons")
	flaggy.String(&f.given.HTTP, "", "http", "IP:port for callers and operators")
	flaggy.String(&f.seeds, "", "seeds", "up to three addresses of other daemons, with commas")
	flaggy.String(&f.given.Platform, "", "platform", "IP:port of the platform's list of runners")
	if hasData {
		flaggy.String(&f.given.Data, "", "data", "the one folder for files")
	}
}

// Read returns the settings of the file and the flags, validated.
func (f *Flags) Read(hasData bool) (Settings, error) {
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
	f.applyTo(&s)
	return s, s.Validate(hasData)
}

// applyTo replaces the values for which a flag was given.
func (f *Flags) applyTo(s *Settings) {
	for _, value := range []struct{ target, given *string }{
		{&s.Site, &f.given.Site},
		{&s.Name, &f.given.Name},
		{&s.Zone, &f.given.Zone},
		{&s.Address, &f.given.Address},
		{&s.HTTP, &f.given.HTTP},
		{&s.Platform, &f.given.Platform},
		{&s.Data, &f.given.Data},
	} {
		if *value.given != "" {
			*value.target = *value.given
		}
	}
	if f.seeds != "" {
		s.Seeds = strings.Split(f.seeds, ",")
	}
}

// Parse reads a settings file. An unknown field is an error that names it.
func Parse(text []byte) (Settings, error) {
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, err
	}
	return s, nil
}

// Validate reports the first field that is invalid. HasData says that the daemon
// must have a data folder; without it there must be none.
func (s Settings) Validate(hasData bool) error {
	for _, field := range []struct{ name, value string }{{"site", s.Site}, {"name", s.Name}, {"zone", s.Zone}} {
		if err := validateName(field.name, field.value); err != nil {
			return err
		}
	}
	for _, field := range []struct{ name, value string }{
		{"address", s.Address}, {"http", s.HTTP}, {"platform", s.Platform},
	} {
		if err := validateAddress(field.name, field.value); err != nil {
			return err
		}
	}
	if err := s.validateSeeds(); err != nil {
		return err
	}
	if hasData && s.Data == "" {
		return errors.New("data: must be given")
	}
	if !hasData && s.Data != "" {
		return errors.New("data: this daemon keeps no files")
	}
	return nil
}

func (s Settings) validateSeeds() error {
	if len(s.Seeds) == 0 || len(s.Seeds) > maxSeeds {
		return errors.Newf("seeds: must be one to three addresses, got %d", len(s.Seeds))
	}
	for i, seed := range s.Seeds {
		if err := validateAddress("seeds", seed); err != nil {
			return err
		}
		if slices.Contains(s.Seeds[:i], seed) {
			return errors.Newf("seeds: %s is given twice", seed)
		}
	}
	return nil
}

func validateName(field, value string) error {
	if value == "" {
		return errors.Newf("%s: must be given", field)
	}
	if strings.ContainsAny(value, "/ \t\n") || len(value) > maxNameBytes {
		return errors.Newf("%s: %q is not a plain name", field, value)
	}
	return nil
}

func validateAddress(field, value string) error {
	if value == "" {
		return errors.Newf("%s: must be given", field)
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		return errors.Newf("%s: %q is not IP:port", field, value)
	}
	return nil
}
