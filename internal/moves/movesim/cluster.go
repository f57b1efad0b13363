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
	// TimeSlice is the resolution of virtual time.
	TimeSlice = 10 * time.Millisecond
	// tickSlices is the number of time slices between two ticks of a node.
	tickSlices = 10
	// responseSlices is the delay of a platform response and timeoutSlices the time
	// after which a platform request without a response times out.
	responseSlices, timeoutSlices = 3, 100
	// messageLoss is the probability that a message between nodes is lost.
	messageLoss = 0.01
	// failureDetectionSlices is the time until a dead node is replaced in the
	// distribution tree.
	failureDetectionSlices = 500
)

// Node is the simulated node of a host.
type Node struct {
	Host     mesh.HostID
	Domain   int // index in the cluster's domains
	Reducer  *moves.Reducer
	Paused   bool
	Dead     bool
	deferred []func() // deliveries postponed until the end of a pause
}

// serves reports whether the node accepts calls.
func (n *Node) serves() bool { return !n.Paused && !n.Dead }

// Cluster runs the reducers of a deployment's nodes in virtual time.
type Cluster struct {
	Now   mesh.Time
	Nodes []*Node
	Table *Table
	// IsolatedDomain is the index of the domain that is partitioned from the other
	// domains and the platform, or -1.
	IsolatedDomain int
	domains        []mesh.FailureDomain
	rng            *rand.Rand
	// scheduled holds the functions to run in each future time slice.
	scheduled map[int64][]func()
	slice     int64 // number of the current time slice
	effects   moves.Effects
	// OnEvent is called with each event, if set.
	OnEvent func(n *Node, e moves.Event)
	// Replies holds the replies to operators' requests.
	Replies []moves.Reply
}

// NewCluster returns a cluster with the given number of hosts spread evenly over
// the domains.
func NewCluster(domains []mesh.FailureDomain, hosts int, seed uint64) *Cluster {
	c := &Cluster{
		Now: mesh.Time(time.Hour), Table: NewTable(), IsolatedDomain: -1, domains: domains,
		rng: rand.New(rand.NewPCG(seed, 1)), scheduled: map[int64][]func(){},
	}
	for i := range hosts {
		host := mesh.HostID(fmt.Sprintf("host-%02d", i))
		c.Nodes = append(c.Nodes, &Node{
			Host: host, Domain: i % len(domains),
			Reducer: moves.New(moves.Config{Host: host, Domain: domains[i%len(domains)], Incarnation: 1}),
		})
	}
	c.SetLinks()
	return c
}

// SetLinks sets the links of every node in the distribution tree: the first live
// node of each domain is the domain's root, and the others are its children.
func (c *Cluster) SetLinks() {
	roots := make([]*Node, len(c.domains))
	for _, n := range c.Nodes {
		if roots[n.Domain] == nil && !n.Dead {
			roots[n.Domain] = n
		}
	}
	for _, n := range c.Nodes {
		if n.Dead {
			continue
		}
		if root := roots[n.Domain]; root != n {
			n.Reducer.SetLinks(moves.Links{Parent: root.Host})
			continue
		}
		links := moves.Links{Reader: true}
		for _, child := range c.Nodes {
			if child.Domain == n.Domain && child != n && !child.Dead {
				links.Children = append(links.Children, child.Host)
			}
		}
		for _, root := range roots {
			if root != nil && root != n {
				links.Roots = append(links.Roots, root.Host)
			}
		}
		n.Reducer.SetLinks(links)
	}
}

// After schedules a function after a number of time slices.
func (c *Cluster) After(slices int64, f func()) {
	slice := c.slice + max(slices, 1)
	c.scheduled[slice] = append(c.scheduled[slice], f)
}

// Advance advances virtual time by one time slice.
func (c *Cluster) Advance() {
	c.slice++
	c.Now = c.Now.Add(TimeSlice)
	due := c.scheduled[c.slice]
	delete(c.scheduled, c.slice)
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

// Execute executes the collected effects as those of a node.
func (c *Cluster) Execute(n *Node) {
	e := c.effects
	c.effects = moves.Effects{}
	for i := range e.Platform {
		c.sendRequest(n, e.Platform[i])
	}
	for i := range e.Sends {
		c.sendMessage(n, e.Sends[i])
	}
	for _, event := range e.Events {
		if c.OnEvent != nil {
			c.OnEvent(n, event)
		}
	}
	c.Replies = append(c.Replies, e.Replies...)
}

// Effects returns the collector to pass to a method of a node's Reducer. The
// caller must then call Execute with that node.
func (c *Cluster) Effects() *moves.Effects { return &c.effects }

// partitioned reports whether two domains are partitioned from each other.
func (c *Cluster) partitioned(a, b int) bool {
	return a != b && (a == c.IsolatedDomain || b == c.IsolatedDomain)
}

// sendMessage delivers a message in the next time slice unless it is lost.
func (c *Cluster) sendMessage(from *Node, s moves.Send) {
	to := c.Node(s.To)
	if to == nil || c.partitioned(from.Domain, to.Domain) || c.rng.Float64() < messageLoss {
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

// deliver runs the function that delivers an event to the node. A paused node
// receives the event when it resumes, a dead one never.
func (n *Node) deliver(event func()) {
	switch {
	case n.Dead:
	case n.Paused:
		n.deferred = append(n.deferred, event)
	default:
		event()
	}
}

// Resume ends a pause and delivers the events that arrived in it.
func (n *Node) Resume() {
	n.Paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, event := range deferred {
		n.deliver(event)
	}
}

// Kill ends a node's process. Another node replaces it in the distribution tree
// once the failure is detected.
func (c *Cluster) Kill(n *Node) {
	n.Dead = true
	c.After(failureDetectionSlices, c.SetLinks)
}

// Node returns the node of a host, or nil.
func (c *Cluster) Node(host mesh.HostID) *Node {
	for _, n := range c.Nodes {
		if n.Host == host {
			return n
		}
	}
	return nil
}

// sendRequest executes a platform request in the next time slice and delivers the
// result after the response delay or the timeout.
func (c *Cluster) sendRequest(n *Node, req platform.Request) {
	c.After(1, func() {
		unreachable := n.Domain == c.IsolatedDomain
		unavailable := c.Table.Unavailable
		c.Table.Unavailable = unavailable || unreachable
		result := c.Table.Do(&req)
		c.Table.Unavailable = unavailable
		delay := int64(responseSlices)
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

// StartMove sends a start request to the first node.
func (c *Cluster) StartMove(req moves.StartRequest) {
	n := c.Nodes[0]
	n.Reducer.Start(c.Now, &req, &c.effects)
	c.Execute(n)
}

// Driver returns the node that holds the lease of a move by the lease row and by
// its own state, or nil. The node may be paused or dead.
func (c *Cluster) Driver(id mesh.MoveID) *Node {
	row, ok := c.Table.Row("leases/move-" + string(id))
	if !ok {
		return nil
	}
	for _, n := range c.Nodes {
		if n.Reducer.Drives(id) && leaseHolder(row.Value) == n.Host {
			return n
		}
	}
	return nil
}
