package distribution

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

var (
	goodContent  = makeContent("service roofs", "route survey roofs")
	nextContent  = makeContent("service roofs", "route survey roofs", "route orders roofs")
	thirdContent = makeContent("service roofs", "service depot", "route survey roofs", "route stock depot")
	badContent   = makeContent("service roofs", "route survey roofs", "route stock depot")
)

// violations lists applies that break a guarantee.
type violations struct {
	downgrades []string // guarantee G1: applied a lower version than before
	invalid    []string // guarantees G2 and G3: applied content with an unresolved reference
}

// recordViolations checks each apply in the simulation.
func recordViolations(s *sim) *violations {
	v := &violations{}
	s.onApplied = func(h *simHost, a Applied) {
		if a.Head.Version < h.highest {
			v.downgrades = append(v.downgrades, string(h.id)+" applied "+a.Head.Version.String()+" after "+h.highest.String())
		}
		if err := (lineContent{}).Validate(a.Content); err != nil {
			v.invalid = append(v.invalid, string(h.id)+" applied "+a.Head.Version.String()+": "+err.Error())
		}
	}
	return v
}

// newConvergedSim starts two failure domains and runs until version 1 is in
// force everywhere.
func newConvergedSim(perDomain int) (*sim, *violations) {
	s := newSim(7)
	v := recordViolations(s)
	s.addDomain("ifrane", perDomain)
	s.addDomain("azrou", perDomain)
	s.publish(nil, goodContent)
	s.startAll()
	s.run(15 * time.Second)
	return s, v
}

// checkGolden logs the simulation while run is executed, compares the log with
// the golden file of the test and returns it.
func checkGolden(t *testing.T, s *sim, run func()) string {
	t.Helper()
	var log bytes.Buffer
	s.log = &log
	run()
	path := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "TestSession")+".golden")
	if *update {
		if err := os.WriteFile(path, log.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read golden file: %v; run the test with -update", err)
	}
	if !bytes.Equal(want, log.Bytes()) {
		t.Errorf("session differs from %s; have:\n%s", path, log.String())
	}
	return log.String()
}

func (s *sim) host(id mesh.HostID) *simHost { return s.ids[id] }

// leaf returns a running host of a failure domain that is not a reader.
func (s *sim) leaf(domain mesh.FailureDomain) *simHost {
	for _, h := range s.hosts {
		if h.domain == domain && h.up && !h.members.IsReader() {
			return h
		}
	}
	return nil
}

// Guards against a version that does not reach every node, and against full
// content being sent where a delta would do.
func TestSessionPublishToApplied(t *testing.T) {
	is := is.New(t)
	s, v := newConvergedSim(4)
	log := checkGolden(t, s, func() {
		s.publish(s.leaf("ifrane"), nextContent)
		s.run(4 * time.Second)
	})
	is.Equal(len(s.lagging(2)), 0)
	is.Equal(*v, violations{})
	is.True(!strings.Contains(log, "in full"))
	for _, h := range s.hosts {
		if h.members.IsReader() {
			ack := h.dist.InForce()
			is.Equal(ack.InForce, uint32(8)) // the readers know that all hosts have it
			is.Equal(ack.Total, uint32(8))
		}
	}
}

// Guards against a node that stays behind because a push to it was lost.
func TestSessionLostPush(t *testing.T) {
	is := is.New(t)
	s, _ := newConvergedSim(4)
	unreached := s.leaf("azrou")
	checkGolden(t, s, func() {
		s.blocked = func(from, to *simHost) bool { return to == unreached }
		s.publish(s.leaf("ifrane"), nextContent)
		s.run(500 * time.Millisecond)
		is.Equal(s.lagging(2), []mesh.HostID{unreached.id})
		s.blocked = nil
		s.run(3500 * time.Millisecond)
	})
	is.Equal(len(s.lagging(2)), 0)
}

// Guards against an invalid version that is applied in part, or that prevents
// the next valid one from being applied (guarantees G2 and G3). The rejection
// must reach the readers.
func TestSessionBadVersion(t *testing.T) {
	is := is.New(t)
	s, v := newConvergedSim(3)
	checkGolden(t, s, func() {
		s.publish(s.leaf("ifrane"), badContent)
		s.run(4 * time.Second)
		is.Equal(len(s.lagging(1)), 0) // the previous version remains in force
		for _, h := range s.hosts {
			if h.members.IsReader() {
				is.Equal(h.dist.InForce().Rejection.Hosts, uint32(6))
			}
		}
		s.publish(s.leaf("azrou"), thirdContent)
		s.run(4 * time.Second)
	})
	is.Equal(len(s.lagging(3)), 0)
	is.Equal(*v, violations{})
}

// restartWithStalePeer isolates one host so that it stays at version 1 while
// the others reach version 2. It then stops those, disconnects the platform
// and restarts one of them, whose only reachable peer is behind it.
func restartWithStalePeer(s *sim) (restarted *simHost) {
	ahead := s.leaf("azrou")
	aheadSeeds := s.allSeeds(ahead)
	stale := s.addrs[aheadSeeds[len(aheadSeeds)-1]]
	s.blocked = func(from, to *simHost) bool { return from == stale || to == stale }
	s.noPlatform = func(h *simHost) bool { return h == stale }
	s.publish(nil, nextContent)
	s.run(4 * time.Second)
	s.platformDown = true
	for _, h := range s.hosts {
		if h != stale {
			s.stop(h)
		}
	}
	s.blocked = nil
	s.start(ahead)
	s.run(20 * time.Second)
	return ahead
}

// Guards against a restarted host that applies the lower version of a peer
// that is behind (guarantee G1). While the platform is down it must apply
// nothing.
func TestSessionRestartBehind(t *testing.T) {
	is := is.New(t)
	s, v := newConvergedSim(3)
	checkGolden(t, s, func() {
		h := restartWithStalePeer(s)
		is.Equal(h.highest, mesh.ConfigVersion(2))
		is.Equal(h.dist.AppliedHead().Version, mesh.ConfigVersion(0))
		is.True(!h.dist.Established())
		s.platformDown = false
		s.noPlatform = nil
		s.run(6 * time.Second)
		is.Equal(h.dist.AppliedHead().Version, mesh.ConfigVersion(2))
	})
	is.Equal(*v, violations{})
}

// Guards against a restarted node that cannot reach the platform and never
// learns its version floor, although peers can read the head for it.
func TestSessionRelayedFreshHead(t *testing.T) {
	is := is.New(t)
	s, v := newConvergedSim(4)
	h := s.leaf("azrou")
	s.noPlatform = func(other *simHost) bool { return other == h }
	log := checkGolden(t, s, func() {
		s.stop(h)
		s.run(2 * time.Second)
		s.start(h)
		s.run(4 * time.Second)
	})
	is.True(strings.Contains(log, "relay fresh head v1 to "+string(h.id)))
	is.Equal(len(s.lagging(1)), 0)
	is.Equal(*v, violations{})
}

// Guards against members of an unreachable failure domain being declared dead,
// and against nodes that do not converge after a partition has ended.
func TestSessionPartitionAndHeal(t *testing.T) {
	is := is.New(t)
	s, v := newConvergedSim(3)
	checkGolden(t, s, func() {
		s.blocked = func(from, to *simHost) bool { return from.domain != to.domain }
		s.noPlatform = func(h *simHost) bool { return h.domain == "azrou" }
		s.publish(s.leaf("ifrane"), nextContent)
		s.run(15 * time.Second)
		for _, h := range s.hosts {
			remote := mesh.FailureDomain("azrou")
			if h.domain == remote {
				remote = "ifrane"
				is.Equal(h.dist.AppliedHead().Version, mesh.ConfigVersion(1))
			}
			is.True(h.members.Unreachable(remote))
			is.Equal(h.members.LiveCount(remote), 3) // members are retained
		}
		s.blocked = nil
		s.run(8 * time.Second)
	})
	is.Equal(len(s.lagging(2)), 0) // azrou receives version 2 from the other failure domain, without the platform
	is.Equal(s.hostWithWrongMembers(), mesh.HostID(""))
	is.True(!s.hosts[0].members.Unreachable("azrou"))
	is.Equal(*v, violations{})
}

// Guards against a stale message of a paused process that revives its host
// after the host was declared dead, and against a resumed process that is
// never seen as alive again.
func TestSessionPausedNode(t *testing.T) {
	is := is.New(t)
	s, _ := newConvergedSim(4)
	h, other := s.leaf("azrou"), s.host("ifrane-001")
	stale := &simEnvelope{From: h.id, Incarnation: h.members.Self().Incarnation, Membership: []membership.Message{
		{Kind: membership.KindHeartbeat, Records: membership.Batch{*h.members.Self()}},
	}}
	checkGolden(t, s, func() {
		h.paused = true
		s.run(9 * time.Second)
		is.Equal(other.members.Member(h.id).State, membership.Dead)
		s.deliver(other, stale)
		s.run(2 * time.Second)
		is.Equal(other.members.Member(h.id).State, membership.Dead)
		s.resume(h)
		s.run(6 * time.Second)
	})
	is.Equal(s.hostWithWrongMembers(), mesh.HostID(""))
	is.True(other.members.Member(h.id).Incarnation > stale.Incarnation)
}

// Guards against nodes that stop using their configuration during a platform
// outage, and against a restarted node that applies one without knowing its
// version floor.
func TestSessionPlatformOutage(t *testing.T) {
	is := is.New(t)
	s, v := newConvergedSim(3)
	checkGolden(t, s, func() {
		s.platformDown = true
		s.run(3 * time.Second)
		is.Equal(len(s.lagging(1)), 0)
		h := s.leaf("ifrane")
		s.start(h)
		s.run(5 * time.Second)
		is.Equal(s.lagging(1), []mesh.HostID{h.id})
		s.platformDown = false
		s.publish(nil, nextContent)
		s.run(5 * time.Second)
	})
	is.Equal(len(s.lagging(2)), 0)
	is.Equal(*v, violations{})
}
