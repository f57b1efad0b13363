package membership

import (
	"slices"
	"strings"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// localBackend is an announced backend server with the end of its lease.
type localBackend struct {
	Announcement
	expires mesh.Time
}

// Announce records or renews the announcement of a local backend server. The
// error is of type ErrAnnouncement if the announcement is malformed or there are
// already maxBackends others.
func (r *Reducer) Announce(now mesh.Time, a Announcement, out *Output) error {
	if err := checkAnnouncement(&a); err != nil {
		return err
	}
	i, found := r.findBackend(a.Instance)
	if !found && len(r.backends) >= maxBackends {
		return ErrAnnouncement.New("cannot announce instance %q: the host already has %d backend servers, the maximum", a.Instance, maxBackends)
	}
	local := localBackend{Announcement: a, expires: now.Add(a.Lease)}
	changed := true
	if found {
		changed = r.backends[i].Backend != a.Backend
		r.backends[i] = local
	} else {
		r.backends = slices.Insert(r.backends, i, local)
	}
	if changed {
		r.publishBackends(out)
	}
	return nil
}

func checkAnnouncement(a *Announcement) error {
	switch {
	case a.Instance == "" || a.Service == "" || a.Version == "" || a.Addr == "":
		return ErrAnnouncement.New("instance, service, version and address must be set, got %q, %q, %q, %q",
			a.Instance, a.Service, a.Version, a.Addr)
	case len(a.Instance) > maxStringBytes || len(a.Service) > maxStringBytes || len(a.Version) > maxStringBytes:
		return ErrAnnouncement.New("the instance, service or version name of instance %.32q is longer than %d bytes", string(a.Instance), maxStringBytes)
	case a.Lease <= 0:
		return ErrAnnouncement.New("lease of instance %q must be positive, got %s", a.Instance, a.Lease)
	}
	return nil
}

// expireBackends removes local backend servers whose lease has ended.
func (r *Reducer) expireBackends(now mesh.Time, out *Output) {
	before := len(r.backends)
	r.backends = slices.DeleteFunc(r.backends, func(b localBackend) bool { return now >= b.expires })
	if len(r.backends) != before {
		r.publishBackends(out)
	}
}

func (r *Reducer) publishBackends(out *Output) {
	r.updateSelf(out, func(self *Record) {
		self.Backends = make([]Backend, len(r.backends))
		for i := range r.backends {
			self.Backends[i] = r.backends[i].Backend
		}
	})
}

func (r *Reducer) findBackend(id mesh.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(r.backends, id, func(b localBackend, id mesh.InstanceID) int {
		return strings.Compare(string(b.Instance), string(id))
	})
}

// Backend returns the local backend server with its address.
func (r *Reducer) Backend(id mesh.InstanceID) (Announcement, bool) {
	i, ok := r.findBackend(id)
	if !ok {
		return Announcement{}, false
	}
	return r.backends[i].Announcement, true
}

// Backends returns the local backend servers sorted by instance.
func (r *Reducer) Backends() []Announcement {
	out := make([]Announcement, len(r.backends))
	for i := range r.backends {
		out[i] = r.backends[i].Announcement
	}
	return out
}
