package load

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ParseFault parses a fault in the form "TIME ADDRESS JSON", for example `5s 127.0.0.1:9001 {"slow":5}`.
func ParseFault(s string) (Fault, error) {
	at, rest, _ := strings.Cut(strings.TrimSpace(s), " ")
	address, body, ok := strings.Cut(strings.TrimSpace(rest), " ")
	if !ok {
		return Fault{}, eris.Errorf("fault %q: want TIME ADDRESS JSON", s)
	}
	offset, err := time.ParseDuration(at)
	if err != nil {
		return Fault{}, fmt.Errorf("fault %q: time: %w", s, err)
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return Fault{}, fmt.Errorf("fault %q: address: %w", s, err)
	}
	if !json.Valid([]byte(body)) {
		return Fault{}, eris.Errorf("fault %q: body is no JSON", s)
	}
	return Fault{At: offset, Address: address, Body: json.RawMessage(body)}, nil
}

// ParseAccount parses a client account in the form NAME=TOKEN or NAME=TOKEN=SHARE, where SHARE weights its part of the
// arrivals. Its errors contain the name but not the access token.
func ParseAccount(s string) (Account, error) {
	parts := strings.Split(s, "=")
	if len(parts) < 2 || len(parts) > 3 || parts[0] == "" {
		return Account{}, eris.Errorf("account %q: want NAME=TOKEN or NAME=TOKEN=SHARE", parts[0])
	}
	a := Account{Name: parts[0], Token: parts[1]}
	if len(parts) == 2 {
		return a, nil
	}
	share, err := strconv.ParseFloat(parts[2], 64)
	if err != nil || share <= 0 {
		return Account{}, eris.Errorf("account %q: share must be a number above zero", a.Name)
	}
	a.Share = share
	return a, nil
}
