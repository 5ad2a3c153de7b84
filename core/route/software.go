package route

import "cmp"

// SetSoftware records the software version that an endpoint reports, empty if it reports none, and returns whether the
// version that counts has changed. A report goes before the declaration, because an endpoint may be restarted with
// other software at its address.
func (t *Table) SetSoftware(name, version string) (changed bool) {
	e := t.byName.Get(name)
	if e == nil {
		return false
	}
	before := e.SoftwareVersion()
	e.reportedSoftware, e.softwareReported = version, true
	return e.SoftwareVersion() != before
}

// SoftwareVersion returns the software version that the endpoint last reported, or else the declared one; empty means
// unknown.
func (e *Endpoint) SoftwareVersion() string { return cmp.Or(e.reportedSoftware, e.Software) }

// runsSoftware reports whether the endpoint runs the software version; any does if that is empty.
func (e *Endpoint) runsSoftware(version string) bool {
	return version == "" || e.SoftwareVersion() == version
}

// mayRunSoftware reports whether the endpoint is known to run the software version, or has not been asked yet.
func (e *Endpoint) mayRunSoftware(version string) bool {
	return e.runsSoftware(version) || e.SoftwareVersion() == "" && !e.softwareReported
}

// softwareGone reports whether no configured endpoint of the request's service may run the software version that the
// request needs.
func (t *Table) softwareGone(req *Request) bool {
	for _, e := range t.ordered {
		if e.Service == req.Service && !e.removed && e.mayRunSoftware(req.Software) {
			return false
		}
	}
	return req.Software != ""
}
