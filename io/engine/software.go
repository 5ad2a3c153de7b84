package engine

import (
	"net/http"
	"strings"

	"wasabiweir/core/object"
)

// SoftwareHeader is the header of all replies in which an engine may report the version of its software.
const SoftwareHeader = "Engine-Software"

// reportedSoftware returns the software version in the header of an engine's reply. It is empty if the engine reports
// none, or one that no endpoint may be declared with.
func reportedSoftware(h http.Header) string {
	v := h.Get(SoftwareHeader)
	if len(v) > object.MaxVersionBytes || strings.ContainsFunc(v, func(c rune) bool { return c < '!' || c > '~' }) {
		return ""
	}
	return v
}
