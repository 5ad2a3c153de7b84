package origin

import (
	"maps"
	"time"

	"wasabiweir/core/place"
)

const (
	// maxSightings bounds the versions that are remembered.
	maxSightings = 4096
	// maxListGap is the longest time between two lists of the same process that leaves nothing unseen: an endpoint that leaves is listed
	// as draining for several seconds. Processes read or get a list every second or so, and a relay without keepers within four seconds.
	maxListGap = 5 * time.Second
)

// Sighting is a software version of a service that has been listed.
type Sighting struct {
	Origin
	// Age is the time from the latest list with an endpoint of that version to the sending of this record.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Versions holds which software versions of each service are listed now, and which were within Lifetime. It is not safe for
// concurrent use.
type Versions struct {
	// listed holds whether an endpoint of a listed version is not draining.
	listed map[Origin]bool
	// lastListed holds when versions were listed last that are no longer, or that other processes have seen.
	lastListed map[Origin]time.Time
	// observedAt is the time until which what was listed is known, and completeFrom the time since which; zero before the first list.
	observedAt   time.Time
	completeFrom time.Time
	// confirmedAt is the latest time at which no version was in use that is not known here.
	confirmedAt time.Time
}

// Observe records a list of endpoints that replaces the one before. It may have been sent by another process and have waited on its
// way, so it shows nothing of the time at which it arrives; Confirm does.
func (v *Versions) Observe(endpoints []place.Endpoint, now time.Time) {
	v.Reaffirm(now)
	listed := versionsOf(endpoints)
	for o := range v.listed {
		if _, ok := listed[o]; !ok {
			v.remember(o, now, now)
		}
	}
	v.listed = listed
}

// Reaffirm records that another list has arrived with the same content as the one before.
func (v *Versions) Reaffirm(now time.Time) {
	if v.completeFrom.IsZero() || !v.observedAt.IsZero() && now.Sub(v.observedAt) > maxListGap {
		v.completeFrom = now
	}
	v.observedAt = now
}

// Confirm records a list of endpoints that this process has read itself, and whose read began at readAt.
func (v *Versions) Confirm(endpoints []place.Endpoint, readAt, now time.Time) {
	// The list that is observed may be a later one without some of these versions.
	for o := range versionsOf(endpoints) {
		v.remember(o, now, now)
	}
	v.MarkConfirmed(readAt)
}

// MarkConfirmed records that all versions are known here that could be in use at the given time, as those of another process which was asked
// at that time and has confirmed that it is current.
func (v *Versions) MarkConfirmed(at time.Time) {
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// IsConfirmed reports whether the versions are known to be those in use at the given time or later.
func (v *Versions) IsConfirmed(since time.Time) bool { return !v.confirmedAt.Before(since) }

// versionsOf returns the listed versions, with whether an endpoint of each is not draining.
func versionsOf(endpoints []place.Endpoint) map[Origin]bool {
	listed := map[Origin]bool{}
	for i := range endpoints {
		o := Origin{Service: endpoints[i].Service, Version: endpoints[i].Version}
		listed[o] = listed[o] || !endpoints[i].Draining
	}
	return listed
}

// remember records that the version was listed at the given time.
func (v *Versions) remember(o Origin, at, now time.Time) {
	if v.lastListed == nil {
		v.lastListed = map[Origin]time.Time{}
	}
	if len(v.lastListed) >= maxSightings {
		maps.DeleteFunc(v.lastListed, func(_ Origin, at time.Time) bool { return now.Sub(at) >= Lifetime })
	}
	if len(v.lastListed) < maxSightings && at.After(v.lastListed[o]) {
		v.lastListed[o] = at
	}
}

// Merge adds what another process has seen.
func (v *Versions) Merge(list []Sighting, now time.Time) {
	for _, s := range list {
		if s.Age >= 0 && s.Age < Lifetime && s.isValid() {
			v.remember(s.Origin, now.Add(-s.Age), now)
		}
	}
}

// MarkComplete records that everything is known that was listed within Lifetime before the given time, as a process knows it that has
// merged all of one that does.
func (v *Versions) MarkComplete(at time.Time) {
	if from := at.Add(-Lifetime); v.completeFrom.IsZero() || from.Before(v.completeFrom) {
		v.completeFrom = from
	}
	if !v.observedAt.IsZero() && at.After(v.observedAt) {
		v.observedAt = at
	}
}

// IsComplete reports whether everything is known that was listed within Lifetime. If not, a single version may only look like the only
// one. It is not after a time without lists, as in a process that stood still or was cut off.
func (v *Versions) IsComplete(now time.Time) bool {
	current := v.observedAt.IsZero() || now.Sub(v.observedAt) <= maxListGap
	return !v.completeFrom.IsZero() && now.Sub(v.completeFrom) >= Lifetime && current
}

// All returns the versions that are listed or were within Lifetime.
func (v *Versions) All(now time.Time) (out []Sighting) {
	for o := range v.listed {
		out = append(out, Sighting{Origin: o})
	}
	for o, at := range v.lastListed {
		if _, ok := v.listed[o]; ok {
			continue
		}
		if age := now.Sub(at); age < Lifetime {
			out = append(out, Sighting{Origin: o, Age: max(0, age)})
		}
	}
	return out
}

// Of returns the sightings of one service among all.
func (v *Versions) Of(service string, now time.Time) (out []Sighting) {
	for _, s := range v.All(now) {
		if s.Service == service {
			out = append(out, s)
		}
	}
	return out
}

// MayBeSeveral reports whether several versions of the service are listed or were within Lifetime, or may have been.
func (v *Versions) MayBeSeveral(service string, now time.Time) bool {
	return v.AreSeveral(service, now) || !v.IsComplete(now)
}

// Only returns the only version of the service that is listed or was within Lifetime, or false if there may be several. It is empty
// if none was. The caller of a stream may have got its events from an endpoint that had joined just before, so the versions must be
// confirmed for the time at which the caller came, or a later one.
func (v *Versions) Only(service string, since, now time.Time) (version string, ok bool) {
	if !v.IsConfirmed(since) || v.MayBeSeveral(service, now) {
		return "", false
	}
	for _, s := range v.Of(service, now) {
		version = s.Version
	}
	return version, true
}

// MayBeSeveralAnywhere reports the same of any service.
func (v *Versions) MayBeSeveralAnywhere(now time.Time) bool {
	services := map[string]bool{}
	for _, s := range v.All(now) {
		if services[s.Service] {
			return true
		}
		services[s.Service] = true
	}
	return !v.IsComplete(now)
}

// IsServing reports whether the latest list has an endpoint of that version that is not draining.
func (v *Versions) IsServing(o Origin) bool { return v.listed[o] }

// IsServiceServing reports whether the latest list has an endpoint of the service that is not draining.
func (v *Versions) IsServiceServing(service string) bool {
	for o, serving := range v.listed {
		if o.Service == service && serving {
			return true
		}
	}
	return false
}

// AreSeveral reports whether several versions of the service are known to be listed, or to have been within Lifetime.
func (v *Versions) AreSeveral(service string, now time.Time) bool { return len(v.Of(service, now)) > 1 }
