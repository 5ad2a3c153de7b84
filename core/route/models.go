package route

// SetModels records the names of the models and adapters that an endpoint reports to serve. An endpoint that has not
// reported any is assumed to serve all.
func (t *Table) SetModels(name string, models []string) {
	e := t.byName.Get(name)
	if e == nil {
		return
	}
	e.models = NewNameSet(models...)
}

// lacksModel reports whether the endpoint has reported its models and adapters and the given one is not among them.
func (e *Endpoint) lacksModel(model string) bool {
	return model != "" && e.models != nil && !e.models.Has(model)
}
