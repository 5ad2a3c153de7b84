package flags

import (
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
)

// List is a flag value that holds strings separated by commas; it implements flag.Value.
type List []string

// String returns the values separated by commas.
func (l *List) String() string { return strings.Join(*l, ",") }

// Set replaces the list by the comma-separated values in s; spaces around values and empty values are dropped.
func (l *List) Set(s string) error {
	*l = nil
	for v := range strings.SplitSeq(s, ",") {
		if v = strings.TrimSpace(v); v != "" {
			*l = append(*l, v)
		}
	}
	return nil
}

// Pairs is a flag value of the form name=value,name=value; it implements flag.Value.
type Pairs map[string]string

// String returns the pairs in the form name=value,name=value, which Set reads.
func (p *Pairs) String() string {
	var parts []string
	for k, v := range *p {
		parts = append(parts, k+"="+v)
	}
	return strings.Join(parts, ",")
}

// Set replaces all pairs by those in s, in the form name=value,name=value; it fails if one lacks a name or a value.
func (p *Pairs) Set(s string) error {
	*p = Pairs{}
	for v := range strings.SplitSeq(s, ",") {
		if v = strings.TrimSpace(v); v == "" {
			continue
		}
		name, value, ok := strings.Cut(v, "=")
		if !ok || name == "" || value == "" {
			return eris.Errorf("%q is not name=value", v)
		}
		(*p)[name] = value
	}
	return nil
}

// IsAddress reports whether s is an IP address with a port, such as 127.0.0.1:8080; host names are not accepted.
func IsAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
