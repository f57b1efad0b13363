package platform

import (
	"log/slog"
	"strconv"
)

// Era counts how often a store has lost writes by going back to an older state.
type Era uint16

// Revision is a version of the store within an era. It orders by era, then by version, so
// that versions which the store has assigned again compare correctly. Version zero stands
// for a row that does not exist.
type Revision uint64

// versionBits is the width of the version. At 1,200 writes a second 48 bits last for 7,000
// years; the other 16 bits allow for an era a day for 179 years.
const versionBits = 48

// MaxVersion is the largest version of a revision.
const MaxVersion = 1<<versionBits - 1

// NewRevision returns a revision. Versions above MaxVersion count as MaxVersion.
func NewRevision(era Era, version uint64) Revision {
	return Revision(era)<<versionBits | Revision(min(version, MaxVersion))
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> versionBits) }

// Version returns the store's version within the era.
func (r Revision) Version() uint64 { return uint64(r) & MaxVersion }

// String returns the version, preceded by the era and a slash if the era isn't zero.
func (r Revision) String() string {
	version := strconv.FormatUint(r.Version(), 10)
	if r.Era() == 0 {
		return version
	}
	return strconv.FormatUint(uint64(r.Era()), 10) + "/" + version
}

// LogValue implements slog.LogValuer. Revisions of era zero are logged as numbers.
func (r Revision) LogValue() slog.Value {
	if r.Era() == 0 {
		return slog.Uint64Value(r.Version())
	}
	return slog.StringValue(r.String())
}
