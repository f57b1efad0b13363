package proxy

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/rollout"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// Guards against a second roll-out whose fallback is a version that the first one has
// replaced: hosts with that version are still members, but their instances have exited.
func TestFallbackIsAVersionThatServes(t *testing.T) {
	is := is.New(t)
	got := sharesForPlan("s", rollout.Slots{"v1": 0, "v2": 63, "v3": 63}, rollout.Plan{Ordered: true, Target: "v3", State: rollout.Running, Share: 600})
	is.Equal(string(got.Fallback), "v2")
	is.Equal(got.Versions, []routing.VersionShare{{Version: "v3", Share: 600}, {Version: "v2", Share: 9400}})
}

// Guards against a version that gets requests before a roll-out to it was ordered, and
// against one that gets requests after it was rolled back or replaced.
func TestVersionSharesFollowTheRolloutPlan(t *testing.T) {
	slots := rollout.Slots{"v1": 63, "v2": 9}
	for _, c := range []struct {
		plan rollout.Plan
		want []routing.VersionShare
	}{
		{rollout.Plan{}, []routing.VersionShare{{Version: "v1", Share: routing.FullShare}}},
		{rollout.Plan{Ordered: true, Target: "v2", State: rollout.Completed, Share: routing.FullShare},
			[]routing.VersionShare{{Version: "v2", Share: routing.FullShare}}},
		{rollout.Plan{Ordered: true, Target: "v2", State: rollout.RolledBack},
			[]routing.VersionShare{{Version: "v2", Share: 0}, {Version: "v1", Share: routing.FullShare}}},
	} {
		is := is.New(t)
		is.Equal(sharesForPlan("s", slots, c.plan).Versions, c.want)
	}
}
