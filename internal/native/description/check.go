package description

// checker finds the errors that concern more than one part of a document.
type checker struct {
	*reader
	described *Description
	top       fields
	// capacityByPool is the capacity of the largest runner of each pool. capacityByModel is the
	// capacity of the largest runner that may hold each model; it lacks the models that no
	// service names.
	capacityByPool, capacityByModel map[string]int64
}

// check finds references to undefined names, and sizes that exceed the capacity of every
// runner that may hold the item.
func (d *Description) check(r *reader, top fields) {
	c := checker{reader: r, described: d, top: top, capacityByPool: map[string]int64{}, capacityByModel: map[string]int64{}}
	for _, runner := range d.Runners {
		c.capacityByPool[runner.Pool] = max(c.capacityByPool[runner.Pool], runner.Capacity)
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

// path returns the path of a field of a list's element.
func (c *checker) path(list string, i int, field string) string {
	if elements, ok := c.top.values[list].value.([]node); ok && i < len(elements) {
		return elements[i].path + "." + field
	}
	return list
}

func (c *checker) checkService(i int) {
	service := &c.described.Services[i]
	for _, pool := range service.Pools {
		if _, ok := c.capacityByPool[pool]; !ok && pool != "" {
			c.fault(c.path("services", i, "pools"), "no runner is in pool %q", pool)
		}
		for _, model := range service.Models {
			c.capacityByModel[model] = max(c.capacityByModel[model], c.capacityByPool[pool])
		}
	}
	for _, model := range service.Models {
		if _, ok := c.described.models[model]; !ok && model != "" {
			c.fault(c.path("services", i, "models"), "no model is named %q", model)
		}
	}
}

// checkModel checks a model's size. Models that no service names are not checked: they may be
// described ahead of their use.
func (c *checker) checkModel(i int) {
	model := &c.described.Models[i]
	if capacity, used := c.capacityByModel[model.Name]; used && model.Size > capacity {
		c.fault(c.path("models", i, "size"), "is %d; no runner that may hold %q has a capacity (room) above %d", model.Size, model.Name, capacity)
	}
}

// checkAdapter checks that an adapter's model exists, and that both fit on one runner.
func (c *checker) checkAdapter(i int) {
	adapter := &c.described.Adapters[i]
	model, ok := c.described.Model(adapter.Model)
	if !ok {
		if adapter.Model != "" {
			c.fault(c.path("adapters", i, "model"), "no model is named %q", adapter.Model)
		}
		return
	}
	if capacity, used := c.capacityByModel[adapter.Model]; used && adapter.Size+model.Size > capacity {
		c.fault(c.path("adapters", i, "size"), "is %d; with its model it exceeds the largest capacity (room) of the runners that may hold the model: %d", adapter.Size, capacity)
	}
}
