package movesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	// Slice is the resolution of virtual time.
	Slice = 10 * time.Millisecond
	// tickSlices is the number of slices between two ticks of a node.
	tickSlices = 10
	// answerSlices is the delay of a platform answer and timeoutSlices the time
	// after which a request without an answer is given up.
	answerSlices, timeoutSlices = 3, 100
	// messageLoss is the share of lost messages between nodes.
	messageLoss = 0.01
	// deathSlices is the time until a dead node is replaced in the tree.
	deathSlices = 500
)

// Node is a host's node in the simulation.
type Node struct {
	Host    mesh.HostID
	Domain  int
	Reducer *moves.Reducer
	Paused  bool
	Dead    bool
	waiting []func() // events that arrived during a pause
}

// serves reports whether the node accepts calls.
func (n *Node) serves() bool { return !n.Paused && !n.Dead }

// Cluster runs the reducers of a deployment's nodes in virtual time.
type Cluster struct {
	Now   mesh.Time
	Nodes []*Node
	Table *Table
	// Isolated is the domain partitioned from the others and the platform, or -1.
	Isolated int
	domains  []mesh.FailureDomain
	rng      *rand.Rand
	agenda   map[int64][]func()
	slice    int64
	effects  moves.Effects
	// Log receives each event, if set.
	Log func(n *Node, e moves.Event)
	// Replies holds the replies to operators.
	Replies []moves.Reply
}

// NewCluster returns a cluster with the given number of hosts spread over the
// domains.
func NewCluster(domains []mesh.FailureDomain, hosts int, seed uint64) *Cluster {
	c := &Cluster{
		Now: mesh.Time(time.Hour), Table: NewTable(), Isolated: -1, domains: domains,
		rng: rand.New(rand.NewPCG(seed, 1)), agenda: map[int64][]func(){},
	}
	for i := range hosts {
		host := mesh.HostID(fmt.Sprintf("host-%02d", i))
		c.Nodes = append(c.Nodes, &Node{
			Host: host, Domain: i % len(domains),
			Reducer: moves.New(moves.Config{Host: host, Domain: domains[i%len(domains)], Incarnation: 1}),
		})
	}
	c.Link()
	return c
}

// Link sets every node's place in the tree: the first live node of each domain
// is its top node, the others are its children.
func (c *Cluster) Link() {
	tops := make([]*Node, len(c.domains))
	for _, n := range c.Nodes {
		if tops[n.Domain] == nil && !n.Dead {
			tops[n.Domain] = n
		}
	}
	for _, n := range c.Nodes {
		if n.Dead {
			continue
		}
		if top := tops[n.Domain]; top != n {
			n.Reducer.SetLinks(moves.Links{Parent: top.Host})
			continue
		}
		links := moves.Links{Reader: true}
		for _, m := range c.Nodes {
			if m.Domain == n.Domain && m != n && !m.Dead {
				links.Children = append(links.Children, m.Host)
			}
		}
		for _, top := range tops {
			if top != nil && top != n {
				links.Roots = append(links.Roots, top.Host)
			}
		}
		n.Reducer.SetLinks(links)
	}
}

// After runs a function after a number of slices.
func (c *Cluster) After(slices int64, f func()) {
	at := c.slice + max(slices, 1)
	c.agenda[at] = append(c.agenda[at], f)
}

// Advance moves time forward by one slice.
func (c *Cluster) Advance() {
	c.slice++
	c.Now = c.Now.Add(Slice)
	due := c.agenda[c.slice]
	delete(c.agenda, c.slice)
	for _, f := range due {
		f()
	}
	for i, n := range c.Nodes {
		if n.serves() && (c.slice+int64(i))%tickSlices == 0 {
			n.Reducer.Tick(c.Now, &c.effects)
			c.Execute(n)
		}
	}
}

// Execute carries out the effects that a node has produced.
func (c *Cluster) Execute(n *Node) {
	e := c.effects
	c.effects = moves.Effects{}
	for i := range e.Platform {
		c.request(n, e.Platform[i])
	}
	for i := range e.Sends {
		c.send(n, e.Sends[i])
	}
	for _, event := range e.Events {
		if c.Log != nil {
			c.Log(n, event)
		}
	}
	c.Replies = append(c.Replies, e.Replies...)
}

// Effects returns the collector for a call of a reducer's method; Execute must
// follow.
func (c *Cluster) Effects() *moves.Effects { return &c.effects }

// cut reports whether two domains cannot reach each other.
func (c *Cluster) cut(a, b int) bool { return a != b && (a == c.Isolated || b == c.Isolated) }

// send delivers a message in the next slice unless it is lost.
func (c *Cluster) send(from *Node, s moves.Send) {
	to := c.Node(s.To)
	if to == nil || c.cut(from.Domain, to.Domain) || c.rng.Float64() < messageLoss {
		return
	}
	m := s.Message
	c.After(1, func() {
		to.deliver(func() {
			to.Reducer.Message(c.Now, from.Host, &m, &c.effects)
			c.Execute(to)
		})
	})
}

// deliver runs an event of the node now or, while it is paused, afterwards.
func (n *Node) deliver(event func()) {
	switch {
	case n.Dead:
	case n.Paused:
		n.waiting = append(n.waiting, event)
	default:
		event()
	}
}

// Resume ends a pause. Events that arrived meanwhile are delivered.
func (n *Node) Resume() {
	n.Paused = false
	waiting := n.waiting
	n.waiting = nil
	for _, event := range waiting {
		n.deliver(event)
	}
}

// Kill ends a node's process. Its place in the tree is taken after the failure
// was detected.
func (c *Cluster) Kill(n *Node) {
	n.Dead = true
	c.After(deathSlices, c.Link)
}

// Node returns the node of a host.
func (c *Cluster) Node(host mesh.HostID) *Node {
	for _, n := range c.Nodes {
		if n.Host == host {
			return n
		}
	}
	return nil
}

// request sends a platform request.
func (c *Cluster) request(n *Node, req platform.Request) {
	c.After(1, func() {
		unreachable := n.Domain == c.Isolated
		down := c.Table.Down
		c.Table.Down = down || unreachable
		result := c.Table.Do(&req)
		c.Table.Down = down
		delay := int64(answerSlices)
		if result.Status == platform.Unknown {
			delay = timeoutSlices
		}
		c.After(delay, func() {
			n.deliver(func() {
				n.Reducer.Platform(c.Now, &result, &c.effects)
				c.Execute(n)
			})
		})
	})
}

// Start begins a move through the first node.
func (c *Cluster) Start(req moves.StartRequest) {
	n := c.Nodes[0]
	n.Reducer.Start(c.Now, &req, &c.effects)
	c.Execute(n)
}

// Driver returns the node that holds the lease of a move, or nil.
func (c *Cluster) Driver(id mesh.MoveID) *Node {
	row, ok := c.Table.Row("leases/move-" + string(id))
	if !ok {
		return nil
	}
	for _, n := range c.Nodes {
		if n.Reducer.Drives(id) && jsonHolder(row.Value) == n.Host {
			return n
		}
	}
	return nil
}
