package connpool

import (
	"sync"
	"time"
)

// maintainInterval is the time between two maintenance rounds of the pools.
const maintainInterval = 100 * time.Millisecond

// Set holds one pool per address, all with the same options. It probes idle
// connections and opens and closes connections in the background until Close is
// called.
type Set struct {
	opts     Options
	counters Counters

	mu     sync.RWMutex
	pools  map[string]*Pool
	closed bool
	stop   chan struct{}
	done   chan struct{}
}

// NewSet returns an empty set and starts its background maintenance.
func NewSet(opts Options) *Set {
	s := &Set{opts: opts, pools: make(map[string]*Pool), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Counters returns the counters that all pools of the set share.
func (s *Set) Counters() *Counters { return &s.counters }

// Get returns the pool of an address and creates it on first use.
func (s *Set) Get(addr string) *Pool {
	s.mu.RLock()
	p := s.pools[addr]
	s.mu.RUnlock()
	if p != nil {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p = s.pools[addr]; p == nil {
		p = newPool(addr, s.opts, &s.counters)
		p.closed = s.closed
		s.pools[addr] = p
	}
	return p
}

// Warm opens connections to an address ahead of calls and restarts the idle timeout of
// its pool.
func (s *Set) Warm(addr string) {
	p, now := s.Get(addr), time.Now()
	p.restartIdleTimeout(now)
	p.maintain(now, false)
}

func (s *Set) run() {
	defer close(s.done)
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			for _, p := range s.maintainPools(now) {
				p.close()
			}
		}
	}
}

// maintainPools starts the maintenance of the pools in use, and removes the unused
// pools from the set and returns them.
func (s *Set) maintainPools(now time.Time) []*Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unused []*Pool
	for addr, p := range s.pools {
		if p.unused(now) {
			delete(s.pools, addr)
			unused = append(unused, p)
			continue
		}
		p.maintain(now, false)
	}
	return unused
}

// Close closes all connections. Calls in progress fail.
func (s *Set) Close() {
	s.mu.Lock()
	s.closed = true
	pools := make([]*Pool, 0, len(s.pools))
	for _, p := range s.pools {
		pools = append(pools, p)
	}
	s.mu.Unlock()
	close(s.stop)
	<-s.done
	for _, p := range pools {
		p.close()
	}
}
