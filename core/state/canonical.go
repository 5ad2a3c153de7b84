package state

import (
	"net/netip"
	"strings"
)

// canonicalHost returns the normal form of a host in a route or a request: without a port, a trailing dot or the brackets
// of an IPv6 address, in lower case. Hosts with the same normal form are one host.
func canonicalHost(host string) string {
	switch {
	case strings.HasPrefix(host, "["):
		host, _, _ = strings.Cut(host[1:], "]")
	case strings.Count(host, ":") == 1:
		host, _, _ = strings.Cut(host, ":")
	}
	if address, err := netip.ParseAddr(host); err == nil {
		return address.String()
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// canonicalPath returns the normal form of a path in which percent-encoded letters, digits and "-._~" are decoded and the
// other percent-encodings have upper-case digits (RFC 3986, section 6.2.2). Paths with the same normal form are one path.
func canonicalPath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		decoded, ok := decodePercent(path[i:])
		switch {
		case !ok:
			out.WriteByte(path[i])
			continue
		case isUnreserved(decoded):
			out.WriteByte(decoded)
		default:
			out.WriteString(strings.ToUpper(path[i : i+percentBytes]))
		}
		i += percentBytes - 1
	}
	return out.String()
}

// percentBytes is the length in bytes of one percent-encoding.
const percentBytes = len("%00")

// decodePercent returns the byte that the percent-encoding at the start of s stands for; it returns false if there is none.
func decodePercent(s string) (byte, bool) {
	if len(s) < percentBytes || s[0] != '%' {
		return 0, false
	}
	high, okHigh := hexValue(s[1])
	low, okLow := hexValue(s[2])
	return high<<4 | low, okHigh && okLow
}

// hexValue returns the value of a hexadecimal digit; it returns false for other characters.
func hexValue(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

// isUnreserved reports whether a character means the same in a path with and without percent-encoding.
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
