package sidecar

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against shares that together exceed the descriptors of the process, and against
// a kernel that allows fewer descriptors than the settings.
func TestSharesFitIntoTheDescriptors(t *testing.T) {
	is := is.New(t)
	for _, descriptors := range []int{300, 1024, 4100, 65536} {
		settings := Settings{FileDescriptors: descriptors}
		for _, l := range []limits{settings.limits(1 << 20), (&Settings{FileDescriptors: 1 << 20}).limits(descriptors)} {
			opened := max(l.requests, l.instance) + l.instance
			is.True(l.calls+l.forward+l.peers+3*l.control+opened+ownDescriptors <= descriptors)
			is.True(l.calls > 0 && l.forward > 0 && l.peers > 0 && l.control > 0 && l.perHost > 0)
		}
	}
}
