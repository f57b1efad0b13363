package config

// ChangeKind tells how a resource differs between two snapshots.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one resource that differs between two snapshots.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Resource is the resource's kind and name, such as "route bookings".
	Resource string `json:"resource"`
	// Fields lists the fields of a changed resource.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field of a changed resource.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Diff lists what changes from one snapshot to another, by kind and name.
func Diff(from, to *Snapshot) []Change {
	return nil
}
