package build

import (
	"debug/elf"
	"encoding/binary"
	"os"
	"runtime/debug"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Unknown stands for a part of an Info that the program does not hold, and for the build of a process of a version that does not tell it.
const Unknown = "unknown"

const (
	// maxLength is the length in bytes to which the parts of an Info are cut.
	maxLength = 12
	// noteSection is the section of an executable with the build id of Go, and noteHeaderBytes the length of what precedes its name.
	noteSection     = ".note.go.buildid"
	noteHeaderBytes = 12
)

// Info identifies a build.
type Info struct {
	// Revision is the start of the version control revision, with "+" appended if files were changed, or Unknown for a build outside of a
	// repository or without its stamp.
	Revision string
	// ID is the start of the build id that the Go linker derives from all inputs of the build, or Unknown. It depends on the folder of the
	// build too.
	ID string
}

// Current returns the build of this program.
var Current = sync.OnceValue(func() Info { return Info{Revision: readRevision(debug.ReadBuildInfo()), ID: readID()} })

// Name returns the revision, or else the build id.
func (i Info) Name() string {
	if i.Revision != Unknown {
		return i.Revision
	}
	return i.ID
}

// Fields returns the fields for a process's first log line.
func (i Info) Fields() []zap.Field {
	return []zap.Field{zap.String("revision", i.Revision), zap.String("build", i.ID)}
}

// Publish sets a gauge that is always 1 and has the parts of the build as tags.
func (i Info) Publish(s tally.Scope) {
	s.Tagged(map[string]string{"revision": i.Revision, "build": i.ID}).Gauge("build-info").Update(1)
}

// readRevision returns the revision in the information that the go command has added to the program.
func readRevision(info *debug.BuildInfo, ok bool) string {
	revision, modified := "", ""
	if ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = cut(s.Value)
			case s.Key == "vcs.modified" && s.Value == "true":
				modified = "+"
			}
		}
	}
	if revision == "" {
		return Unknown
	}
	return revision + modified
}

// readID returns the start of the build id of the executable file.
func readID() string {
	path, err := os.Executable()
	if err != nil {
		return Unknown
	}
	f, err := elf.Open(path)
	if err != nil {
		return Unknown
	}
	defer func() { _ = f.Close() }()
	section := f.Section(noteSection)
	if section == nil {
		return Unknown
	}
	note, err := section.Data()
	if err != nil {
		return Unknown
	}
	return parseNote(f.ByteOrder, note)
}

// parseNote returns the start of the build id in an ELF note: the lengths of a name and of the id, a type, the name and the id.
func parseNote(order binary.ByteOrder, note []byte) string {
	if len(note) < noteHeaderBytes {
		return Unknown
	}
	name, id := uint64(order.Uint32(note)), uint64(order.Uint32(note[4:]))
	start := noteHeaderBytes + (name+3)/4*4
	if id == 0 || start+id > uint64(len(note)) {
		return Unknown
	}
	text, _, _ := strings.Cut(string(note[start:start+id]), "/")
	return cut(text)
}

// cut returns the start of a text.
func cut(text string) string { return text[:min(maxLength, len(text))] }
