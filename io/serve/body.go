package serve

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// ErrNoRoom is returned for a body for which the process has no memory now.
var ErrNoRoom = eris.New("the process has no memory for the body")

const (
	// freeBody is the size in bytes up to which a body takes nothing from the budget.
	freeBody = 64 << 10
	// bodyPart is the size in bytes of the parts in which a larger one is read. Each is in memory twice when they are joined.
	bodyPart = 64 << 10
)

// ReadBody reads a request body whole. It takes the memory for a large one as the bytes arrive, and fails with ErrNoRoom if there is none
// because of other requests. release gives the memory back and must be called, also after an error.
func (i *Intake) ReadBody(body io.Reader) (data []byte, release func(), err error) {
	var taken int64
	release = func() { i.bodies.Add(-taken) }
	if data, err = io.ReadAll(io.LimitReader(body, freeBody)); err != nil {
		return nil, release, fmt.Errorf("read a body: %w", err)
	}
	if len(data) < freeBody {
		return data, release, nil
	}
	parts := [][]byte{data}
	for {
		if i.bodies.Add(2*bodyPart) > i.Resources.BodyBytes() {
			i.bodies.Add(-2 * bodyPart)
			i.count("bodies-refused", "busy")
			i.logRefusedBody()
			return nil, release, ErrNoRoom
		}
		taken += 2 * bodyPart
		part := make([]byte, bodyPart)
		n, ended, err := ReadPart(body, part)
		if err != nil {
			return nil, release, err
		}
		if parts = append(parts, part[:n]); ended {
			return bytes.Join(parts, nil), release, nil
		}
	}
}

// ReadPart reads from a body until buf is full or the body ends, and reports whether it has ended. io.ReadFull does not tell the end of
// a body from net/http's error for one that breaks off.
func ReadPart(body io.Reader, buf []byte) (n int, ended bool, err error) {
	for n < len(buf) {
		m, err := body.Read(buf[n:])
		n += m
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, fmt.Errorf("read a body: %w", err)
		}
	}
	return n, false, nil
}

// logRefusedBody logs the refused bodies from time to time.
func (i *Intake) logRefusedBody() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n := i.refusedBodies.next(time.Now()); n > 0 && i.Log != nil {
		i.Log.Warn("bodies-refused", zap.Int("refused", n), zap.Int64("taken-bytes", i.bodies.Load()), zap.Int64("budget-bytes", i.Resources.BodyBytes()))
	}
}
