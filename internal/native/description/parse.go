package description

// topLevelFields are the top-level fields of a document, in the order in which Patch writes
// them.
var topLevelFields = []string{"site", "controllers", "routers", "runners", "models", "adapters", "services", "store", "secondGoes"}

// Read parses and validates a complete document for a site. If it has faults, they are returned
// and the description is nil.
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

// names is the set of names seen in a list; it is used to find duplicates.
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
			Name:     seen.unique(r, f.values["name"]),
			Pool:     r.name(f.values["pool"]),
			Zone:     r.name(f.values["zone"]),
			Capacity: r.integer(f.values["room"], 0, 1<<40, 0),
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
