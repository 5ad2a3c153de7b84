package config

// outcomeStore holds the remembered outcomes of configuration changes, by request id and in the order in which they
// were added, so that their revisions never fall.
type outcomeStore struct {
	order []*rememberedOutcome
	byID  map[string]*rememberedOutcome
}

// getOutcome returns the remembered outcome of the change with a request id, or nil.
func (s *outcomeStore) getOutcome(id string) *rememberedOutcome { return s.byID[id] }

// addOutcome appends the outcome of a configuration change.
func (s *outcomeStore) addOutcome(o *rememberedOutcome) {
	if s.byID == nil {
		s.byID = make(map[string]*rememberedOutcome)
	}
	s.order = append(s.order, o)
	s.byID[o.Outcome.RequestID] = o
}

// trimOutcomes removes the oldest outcomes until at most count are left and none has a configuration revision lower
// than oldest.
func (s *outcomeStore) trimOutcomes(count int, oldest uint64) {
	for len(s.order) > count || len(s.order) > 0 && s.order[0].Outcome.Revision < oldest {
		delete(s.byID, s.order[0].Outcome.RequestID)
		s.order[0] = nil
		s.order = s.order[1:]
	}
}
