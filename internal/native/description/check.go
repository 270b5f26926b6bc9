package description

// checker finds faults that concern more than one part of a document.
type checker struct {
	*reader
	described *Description
	top       fields
	// roomByPool is the room of the largest runner of each pool, roomByModel that of the
	// largest runner that may hold a model. A model that no service names is not in it.
	roomByPool, roomByModel map[string]int64
}

// check finds references to undefined names, and sizes for which no runner has room.
func (d *Description) check(r *reader, top fields) {
	c := checker{reader: r, described: d, top: top, roomByPool: map[string]int64{}, roomByModel: map[string]int64{}}
	for _, runner := range d.Runners {
		c.roomByPool[runner.Pool] = max(c.roomByPool[runner.Pool], runner.Room)
	}
	for i := range d.Services {
		c.checkService(i)
	}
	for i := range d.Models {
		c.checkModel(i)
	}
	for i := range d.Adapters {
		c.checkAdapter(i)
	}
}

// path is that of a field of a list's element.
func (c *checker) path(list string, i int, field string) string {
	if elements, ok := c.top.values[list].value.([]node); ok && i < len(elements) {
		return elements[i].path + "." + field
	}
	return list
}

func (c *checker) checkService(i int) {
	service := &c.described.Services[i]
	for _, pool := range service.Pools {
		if _, ok := c.roomByPool[pool]; !ok && pool != "" {
			c.fault(c.path("services", i, "pools"), "no runner is in pool %q", pool)
		}
		for _, model := range service.Models {
			c.roomByModel[model] = max(c.roomByModel[model], c.roomByPool[pool])
		}
	}
	for _, model := range service.Models {
		if _, ok := c.described.models[model]; !ok && model != "" {
			c.fault(c.path("services", i, "models"), "no model is named %q", model)
		}
	}
}

// checkModel checks a model's size. One that no service names may be described ahead of
// its use.
func (c *checker) checkModel(i int) {
	model := &c.described.Models[i]
	if room, used := c.roomByModel[model.Name]; used && model.Size > room {
		c.fault(c.path("models", i, "size"), "is %d; no runner that may hold %q has more room than %d", model.Size, model.Name, room)
	}
}

// checkAdapter checks an adapter's model, and that both fit on one runner.
func (c *checker) checkAdapter(i int) {
	adapter := &c.described.Adapters[i]
	model, ok := c.described.Model(adapter.Model)
	if !ok {
		if adapter.Model != "" {
			c.fault(c.path("adapters", i, "model"), "no model is named %q", adapter.Model)
		}
		return
	}
	if room, used := c.roomByModel[adapter.Model]; used && adapter.Size+model.Size > room {
		c.fault(c.path("adapters", i, "size"), "is %d; with its model it is more than the room of any runner (%d)", adapter.Size, room)
	}
}
