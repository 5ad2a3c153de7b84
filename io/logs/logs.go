package logs

import (
	"io"
	"slices"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Levels are the accepted levels of a logger, from the most to the least verbose.
var Levels = []string{"debug", "info", "warn", "error"}

// New returns a logger that writes events of the given level and above to w; a level outside Levels is an error.
func New(w io.Writer, level string) (*zap.Logger, error) {
	if !slices.Contains(Levels, level) {
		return nil, eris.Errorf("unknown log level %q", level)
	}
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Errorf("unknown log level %q", level)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "event"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), minLevel)
	return zap.New(core), nil
}
