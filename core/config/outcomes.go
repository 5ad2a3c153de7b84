package config

// outcomeStore holds the remembered outcomes of configuration changes, by request id and in the order in which they
// were added, so that their revisions never fall.
type outcomeStore struct {
	order []*rememberedOutcome
	byID  map[string]*rememberedOutcome
}

// get returns the remembered outcome of the change with a request id, or nil.
func (s *outcomeStore) get(id string) *rememberedOutcome { return s.byID[id] }

// add appends the outcome of a configuration change.
func (s *outcomeStore) add(o *rememberedOutcome) {
	if s.byID == nil {
		s.byID = make(map[string]*rememberedOutcome)
	}
	s.order = append(s.order, o)
	s.byID[o.Outcome.RequestID] = o
}

// trim removes the oldest outcomes until at most count are left and none has a configuration revision lower than
// oldest.
func (s *outcomeStore) trim(count int, oldest uint64) {
	for len(s.order) > count || len(s.order) > 0 && s.order[0].Outcome.Revision < oldest {
		delete(s.byID, s.order[0].Outcome.RequestID)
		s.order[0] = nil
		s.order = s.order[1:]
	}
}
