package quota

import "github.com/chicoryscale/chicoryscale/internal/mesh"

// bucket is a token bucket whose tokens are returned if a request ends without having
// run. A returned token must not let the bucket exceed what it would hold if the request
// had never been admitted. Tokens that would have overflowed in that case are forfeited:
// level + pending - forfeited never exceeds the capacity.
type bucket struct {
	level     float64
	pending   float64 // admitted requests whose end isn't known yet
	forfeited float64 // tokens of pending requests that will not be returned
	at        mesh.Time
}

// rounding is the shortfall of a token that rounding may cause.
const rounding = 1e-9

// advance refills the bucket until now.
func (b *bucket) advance(now mesh.Time, perSecond, capacity float64) {
	if now > b.at {
		b.level += perSecond * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.clamp(capacity)
}

func (b *bucket) clamp(capacity float64) {
	b.level = min(b.level, capacity)
	if excess := b.level + b.pending - b.forfeited - capacity; excess > 0 {
		b.forfeited += excess
	}
}

// restart sets the level. Requests admitted earlier return no tokens.
func (b *bucket) restart(now mesh.Time, level float64) {
	b.level, b.forfeited, b.at = level, b.pending, now
}

func (b *bucket) take() bool {
	if b.level < 1-rounding {
		return false
	}
	b.level = max(b.level-1, 0)
	b.pending++
	return true
}

// refund ends a request that has not run.
func (b *bucket) refund() {
	if b.pending < 1 {
		return
	}
	b.pending--
	if b.forfeited >= 1 {
		b.forfeited--
		return
	}
	b.level += 1 - b.forfeited
	b.forfeited = 0
}

// complete ends a request that has run or may have run.
func (b *bucket) complete() {
	if b.pending < 1 {
		return
	}
	b.pending--
	b.forfeited = min(b.forfeited, b.pending)
}
