// Package settings reads the settings of a daemon with the native interface from a
// JSON file and from flags. A flag overrides the value in the file.
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
	// maxSeeds bounds the number of seeds; more have no benefit.
	maxSeeds = 3
)

// Settings are the settings of one process.
type Settings struct {
	// Site is the name of the site. Name is the name of this daemon, unique among
	// the daemons of its kind. Zone is the failure domain of its machine.
	Site string `json:"site"`
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is the IP:port for messages from peers, HTTP the IP:port for clients
	// and operators.
	Address string `json:"address"`
	HTTP    string `json:"http"`
	// Seeds are addresses of other daemons, through which peers are discovered.
	Seeds []string `json:"seeds"`
	// Platform is the IP:port of the platform's runner list.
	Platform string `json:"platform"`
	// Data is the data folder; only controllers have one.
	Data string `json:"data,omitempty"`
}

// Flags are the command-line flags of a daemon.
type Flags struct {
	file   string
	seeds  string
	values Settings
}

// Register registers the flags with the default parser. The flag for the data folder
// is registered only if hasData is true.
func (f *Flags) Register(hasData bool) {
	flaggy.String(&f.file, "s", "settings", "settings file (JSON); flags override it")
	flaggy.String(&f.values.Site, "", "site", "name of the site")
	flaggy.String(&f.values.Name, "", "name", "name of this daemon, unique among the daemons of its kind at the site")
	flaggy.String(&f.values.Zone, "", "zone", "zone of this machine")
	flaggy.String(&f.values.Address, "", "address", "IP:port for messages from other daemons of the site")
	flaggy.String(&f.values.HTTP, "", "http", "IP:port for clients and operators")
	flaggy.String(&f.seeds, "", "seeds", "one to three addresses of other daemons, separated by commas")
	flaggy.String(&f.values.Platform, "", "platform", "IP:port of the platform's runner list")
	if hasData {
		flaggy.String(&f.values.Data, "", "data", "data folder")
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

// applyTo overrides the settings for which a flag was given.
func (f *Flags) applyTo(s *Settings) {
	for _, setting := range []struct{ target, value *string }{
		{&s.Site, &f.values.Site},
		{&s.Name, &f.values.Name},
		{&s.Zone, &f.values.Zone},
		{&s.Address, &f.values.Address},
		{&s.HTTP, &f.values.HTTP},
		{&s.Platform, &f.values.Platform},
		{&s.Data, &f.values.Data},
	} {
		if *setting.value != "" {
			*setting.target = *setting.value
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

// Validate returns an error that names the first invalid field. If hasData is true a
// data folder is required, otherwise none may be given.
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
		return errors.New("data: must not be given, because this daemon has no data folder")
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
		return errors.Newf("%s: %q contains whitespace or a slash, or is too long", field, value)
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
