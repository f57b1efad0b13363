package distribution

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// maxRejected bounds the rejected versions that a node remembers.
	maxRejected = 16
	// maxReasonBytes bounds the reason of a rejection on the wire.
	maxReasonBytes = 200
)

// learnHead records a head if it is newer or adds the missing hash, and starts
// to fetch the target's content. The fetch first pulls from the peer from, if
// that is not empty.
func (r *Reducer) learnHead(now mesh.Time, from mesh.HostID, head Head, out *Output) {
	switch {
	case head.Version > r.head.Version:
		r.head = head
	case head.Version == r.head.Version && r.head.Hash == "":
		r.head.Hash = head.Hash
	}
	r.fetchTarget(now, from, out)
}

// target returns the newest version up to the head that this node has not
// rejected, or zero if there is none. Its content is what the node fetches and
// applies.
func (r *Reducer) target() mesh.ConfigVersion {
	v := r.head.Version
	for v > 0 {
		if _, bad := r.rejected[v]; !bad {
			return v
		}
		v--
	}
	return 0
}

// acceptContent stores the full content of a version if it matches the hash,
// validates it, applies the target and pushes the content on if it is the
// head. A version that fails validation is rejected but still stored and
// pushed. The result reports whether the hash matched.
func (r *Reducer) acceptContent(now mesh.Time, from mesh.HostID, head Head, full []byte, out *Output) bool {
	if r.settings.Content.Hash(full) != head.Hash {
		return false
	}
	if r.head.Version == head.Version && r.head.Hash != "" && r.head.Hash != head.Hash {
		return false
	}
	if r.contents.get(head.Version) != nil {
		return true
	}
	held := &content{head: head, full: full}
	r.contents.put(held, r.applied.Version)
	if err := r.settings.Content.Validate(full); err != nil && r.checks.validate {
		r.reject(head, err, out)
	}
	r.learnHead(now, from, head, out)
	r.apply(out)
	if head.Version == r.head.Version {
		r.pushToLinks(from, held, out)
	}
	return true
}

// reject excludes a version as a whole from being applied. The previous one
// remains in force.
func (r *Reducer) reject(head Head, reason error, out *Output) {
	text := reason.Error()
	if len(text) > maxReasonBytes {
		text = text[:maxReasonBytes]
	}
	rejection := Rejection{Version: head.Version, Hosts: 1, Host: r.settings.Host, Reason: text}
	r.rejected[head.Version] = rejection
	if len(r.rejected) > maxRejected {
		delete(r.rejected, sortedKeys(r.rejected)[0])
	}
	out.Rejected = append(out.Rejected, rejection)
}

// apply puts the target in force if its content is held, the floor is known,
// and its version is above the one in force and not below the floor.
func (r *Reducer) apply(out *Output) {
	held := r.contents.get(r.target())
	if held == nil {
		return
	}
	version := held.head.Version
	if r.checks.floor && (!r.floor.known || version < r.floor.version) {
		return
	}
	if version <= r.applied.Version {
		return
	}
	r.applied = held.head
	out.Applied = append(out.Applied, Applied{Head: held.head, Content: held.full})
}
