// Package description reads and checks the document with which operators describe a site.
// Every fault is reported with its path; a document with any fault has no effect at all.
package description

import (
	"bytes"
	"encoding/json"
	"slices"
)

// MaxBytes is the most bytes that a document may have.
const MaxBytes = 1 << 20

// Member is a controller or router of the site.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Runner is a back end of a pool.
type Runner struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	Zone string `json:"zone"`
	// Room is how much it can hold, in the unit of Item.Size.
	Room int64 `json:"room"`
}

// Item is a model, or an adapter if it names its model.
type Item struct {
	Name  string `json:"name"`
	Model string `json:"model,omitempty"`
	Size  int64  `json:"size"`
	// Copies is how many runners should hold it also when nobody asks; 0 by default.
	Copies int64 `json:"copies,omitempty"`
}

// Service is a kind of request that clients may make.
type Service struct {
	Name string `json:"name"`
	// Streaming says that answers are streams of events.
	Streaming bool `json:"telling,omitempty"`
	// Idempotent says that a request may be executed more than once.
	Idempotent bool `json:"repeatable,omitempty"`
	// Pools are those whose runners serve it, Models those that requests may name.
	Pools  []string `json:"pools"`
	Models []string `json:"models,omitempty"`
	// DeadlineMs bounds a request with all its attempts; 30,000 by default.
	DeadlineMs int64 `json:"deadlineMs"`
	// MaxBytes bounds a request's body; 64 KiB by default.
	MaxBytes int64 `json:"bytesMost"`
	// MaxQueued bounds the requests that wait at a router; 64 by default.
	MaxQueued int64 `json:"holding"`
}

// Store is the weight store, from which runners load.
type Store struct {
	// LoadsPer10s is how many loads it allows in ten seconds.
	LoadsPer10s int64 `json:"loadsPer10s"`
}

// Description is one complete, checked document.
type Description struct {
	Site        string    `json:"site"`
	Controllers []Member  `json:"controllers"`
	Routers     []Member  `json:"routers"`
	Runners     []Runner  `json:"runners"`
	Models      []Item    `json:"models"`
	Adapters    []Item    `json:"adapters,omitempty"`
	Services    []Service `json:"services"`
	Store       Store     `json:"store"`
	// RetryAllowance is how many retries each service may have in any ten seconds over all
	// routers, beyond a fifth of its requests; 10 by default.
	RetryAllowance int64 `json:"secondGoes"`

	services map[string]int
	models   map[string]int
	adapters map[string]int
	runners  map[string]int
}

var topLevelFields = []string{"site", "controllers", "routers", "runners", "models", "adapters", "services", "store", "secondGoes"}

// Read checks a whole document for a site. With any fault there is none.
func Read(text []byte, site string) (*Description, []string) {
	r := &reader{}
	root, ok := r.read(text)
	if !ok {
		return nil, r.faults
	}
	d := &Description{}
	top := r.object(root, topLevelFields...)
	d.Site = r.name(top.values["site"])
	if d.Site != "" && d.Site != site {
		r.fault("site", "is %q; this site is %q", d.Site, site)
	}
	d.Controllers = members(r, top.values["controllers"])
	d.Routers = members(r, top.values["routers"])
	d.readRunners(r, top.values["runners"])
	d.Models = items(r, top.values["models"], false)
	d.Adapters = items(r, top.values["adapters"], true)
	d.readServices(r, top.values["services"])
	store := r.object(top.values["store"], "loadsPer10s")
	d.Store.LoadsPer10s = r.integer(store.values["loadsPer10s"], 1, 100_000, 0)
	d.RetryAllowance = r.integer(top.values["secondGoes"], 0, 1000, 10)
	d.index()
	d.check(r, top)
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return d, nil
}

func members(r *reader, n node) []Member {
	var out []Member
	seen := names{}
	for _, inner := range r.list(n) {
		f := r.object(inner, "name", "zone")
		out = append(out, Member{seen.unique(r, f.values["name"]), r.name(f.values["zone"])})
	}
	if len(out) == 0 {
		r.fault(n.path, "must list at least one")
	}
	return out
}

// names finds duplicate names in a list.
type names map[string]bool

func (s names) unique(r *reader, n node) string {
	name := r.name(n)
	if name != "" && s[name] {
		r.fault(n.path, "%q is listed twice", name)
	}
	s[name] = true
	return name
}

func (d *Description) readRunners(r *reader, n node) {
	seen := names{}
	for _, inner := range r.list(n) {
		f := r.object(inner, "name", "pool", "zone", "room")
		d.Runners = append(d.Runners, Runner{
			Name: seen.unique(r, f.values["name"]),
			Pool: r.name(f.values["pool"]),
			Zone: r.name(f.values["zone"]),
			Room: r.integer(f.values["room"], 0, 1<<40, 0),
		})
	}
	if len(d.Runners) == 0 {
		r.fault(n.path, "must list at least one")
	}
}

func items(r *reader, n node, adapter bool) []Item {
	var out []Item
	seen := names{}
	known := []string{"name", "size", "copies"}
	if adapter {
		known = append(known, "model")
	}
	for _, inner := range r.list(n) {
		f := r.object(inner, known...)
		item := Item{
			Name:   seen.unique(r, f.values["name"]),
			Size:   r.integer(f.values["size"], 1, 1<<40, 0),
			Copies: r.integer(f.values["copies"], 0, 1000, 0),
		}
		if adapter {
			item.Model = r.name(f.values["model"])
		}
		out = append(out, item)
	}
	return out
}

func (d *Description) readServices(r *reader, n node) {
	seen := names{}
	for _, inner := range r.list(n) {
		f := r.object(inner, "name", "telling", "repeatable", "pools", "models", "deadlineMs", "bytesMost", "holding")
		s := Service{
			Name:       seen.unique(r, f.values["name"]),
			Streaming:  r.boolean(f.values["telling"]),
			Idempotent: r.boolean(f.values["repeatable"]),
			DeadlineMs: r.integer(f.values["deadlineMs"], 100, 3_600_000, 30_000),
			MaxBytes:   r.integer(f.values["bytesMost"], 16, 16<<20, 64<<10),
			MaxQueued:  r.integer(f.values["holding"], 1, 100_000, 64),
		}
		pools := names{}
		for _, pool := range r.list(f.values["pools"]) {
			s.Pools = append(s.Pools, pools.unique(r, pool))
		}
		if len(s.Pools) == 0 {
			r.fault(f.values["pools"].path, "must list at least one")
		}
		models := names{}
		for _, model := range r.list(f.values["models"]) {
			s.Models = append(s.Models, models.unique(r, model))
		}
		d.Services = append(d.Services, s)
	}
	if len(d.Services) == 0 {
		r.fault(n.path, "must list at least one")
	}
}

func (d *Description) index() {
	d.services, d.models, d.adapters, d.runners = map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	for i := range d.Services {
		d.services[d.Services[i].Name] = i
	}
	for i := range d.Models {
		d.models[d.Models[i].Name] = i
	}
	for i := range d.Adapters {
		d.adapters[d.Adapters[i].Name] = i
	}
	for i := range d.Runners {
		d.runners[d.Runners[i].Name] = i
	}
}

// check finds references to undefined names, and sizes for which no runner has room.
func (d *Description) check(r *reader, top fields) {
	roomMost := map[string]int64{}
	for _, runner := range d.Runners {
		roomMost[runner.Pool] = max(roomMost[runner.Pool], runner.Room)
	}
	at := func(part string, i int, field string) string {
		if list, ok := top.values[part].value.([]node); ok && i < len(list) {
			return list[i].path + "." + field
		}
		return part
	}
	modelRoom := map[string]int64{}
	for i, s := range d.Services {
		for _, pool := range s.Pools {
			if _, ok := roomMost[pool]; !ok && pool != "" {
				r.fault(at("services", i, "pools"), "no runner is in pool %q", pool)
			}
			for _, model := range s.Models {
				modelRoom[model] = max(modelRoom[model], roomMost[pool])
			}
		}
		for _, model := range s.Models {
			if _, ok := d.models[model]; !ok && model != "" {
				r.fault(at("services", i, "models"), "no model is named %q", model)
			}
		}
	}
	for i, m := range d.Models {
		// A model that no service names may be described ahead of its use.
		if room, used := modelRoom[m.Name]; used && m.Size > room {
			r.fault(at("models", i, "size"), "is %d; no runner that may hold %q has more room than %d", m.Size, m.Name, room)
		}
	}
	for i, a := range d.Adapters {
		model, ok := d.models[a.Model]
		if !ok {
			if a.Model != "" {
				r.fault(at("adapters", i, "model"), "no model is named %q", a.Model)
			}
			continue
		}
		if room, used := modelRoom[a.Model]; used && a.Size+d.Models[model].Size > room {
			r.fault(at("adapters", i, "size"), "is %d; with its model it is more than the room of any runner (%d)", a.Size, room)
		}
	}
}

// Service finds a service by name.
func (d *Description) Service(name string) (*Service, bool) {
	i, ok := d.services[name]
	if !ok {
		return nil, false
	}
	return &d.Services[i], true
}

// Model finds a model by name.
func (d *Description) Model(name string) (*Item, bool) {
	i, ok := d.models[name]
	if !ok {
		return nil, false
	}
	return &d.Models[i], true
}

// Adapter finds an adapter by name.
func (d *Description) Adapter(name string) (*Item, bool) {
	i, ok := d.adapters[name]
	if !ok {
		return nil, false
	}
	return &d.Adapters[i], true
}

// Runner finds a runner by name.
func (d *Description) Runner(name string) (*Runner, bool) {
	i, ok := d.runners[name]
	if !ok {
		return nil, false
	}
	return &d.Runners[i], true
}

// Uses says whether the service may use the runner's pool.
func (s *Service) Uses(pool string) bool { return slices.Contains(s.Pools, pool) }

// Allows says whether the service may name the model.
func (s *Service) Allows(model string) bool { return slices.Contains(s.Models, model) }

// Patch replaces named parts of a document and gives the complete new text, which is to be
// checked like any other.
func Patch(text, change []byte) ([]byte, []string) {
	r := &reader{}
	root, ok := r.read(change)
	if !ok {
		return nil, r.faults
	}
	r.object(root, topLevelFields...)
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	var whole, named map[string]json.RawMessage
	if err := json.Unmarshal(text, &whole); err != nil {
		return nil, []string{".: the description in force can't be read: " + err.Error()}
	}
	if err := json.Unmarshal(change, &named); err != nil {
		return nil, []string{".: " + err.Error()}
	}
	for name, part := range named {
		whole[name] = part
	}
	// The parts are written in one order, so that the same content gives the same text.
	var out bytes.Buffer
	out.WriteString("{")
	for _, name := range topLevelFields {
		part, ok := whole[name]
		if !ok {
			continue
		}
		if out.Len() > 1 {
			out.WriteString(",")
		}
		label, _ := json.Marshal(name)
		out.Write(label)
		out.WriteString(":")
		out.Write(part)
	}
	out.WriteString("}")
	return out.Bytes(), nil
}
