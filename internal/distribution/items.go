package distribution

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// itemSettleTime is the time without changed items after which different
	// digests mean that an item was lost, rather than that one is still on its
	// way.
	itemSettleTime = 800 * time.Millisecond
	// maxItemBytes bounds the value of an item.
	maxItemBytes = 16 << 10
	// maxItemsPerMessage bounds the items, and the IDs of requested items, in
	// one answer to ItemSteps.
	maxItemsPerMessage = 64
)

// PutItem stores and distributes an item that this node has written to the
// platform.
func (r *Reducer) PutItem(now mesh.Time, item Item, out *Output) {
	r.now = now
	r.storeItem("", item, out)
}

// Item returns the item with the highest known step, and false if the ID is
// unknown.
func (r *Reducer) Item(id string) (Item, bool) {
	item, ok := r.items[id]
	return item, ok
}

// Items returns all items in ascending order of their IDs.
func (r *Reducer) Items() []Item {
	out := make([]Item, 0, len(r.items))
	for _, id := range sortedKeys(r.items) {
		out = append(out, r.items[id])
	}
	return out
}

// storeItem stores an item if its step is higher than the known one, and
// forwards it to all links except the source. Items without an ID and values
// above maxItemBytes are dropped.
func (r *Reducer) storeItem(source mesh.HostID, item Item, out *Output) {
	known, ok := r.items[item.ID]
	if item.ID == "" || len(item.Value) > maxItemBytes || (ok && known.Step >= item.Step) {
		return
	}
	item.Value = bytes.Clone(item.Value)
	if ok {
		r.itemDigest ^= known.hash()
	}
	r.items[item.ID] = item
	r.itemDigest ^= item.hash()
	r.itemsChangedAt = r.now
	out.Items = append(out.Items, item)
	for _, host := range r.topology.Links() {
		if host != source {
			r.send(host, Message{Items: []Item{item}}, out)
		}
	}
}

// hash covers the ID and the step. The value is left out: items with one ID
// and step are taken to be equal.
func (i *Item) hash() uint64 {
	h := xxhash.NewWithSeed(i.Step)
	_, _ = h.WriteString(i.ID) // writes to a hash do not fail
	return h.Sum64()
}

func (r *Reducer) acceptItems(from mesh.HostID, items []Item, out *Output) {
	for _, item := range items {
		r.storeItem(from, item, out)
	}
}

func (r *Reducer) itemSteps() []ItemStep {
	steps := make([]ItemStep, 0, len(r.items))
	for _, id := range sortedKeys(r.items) {
		steps = append(steps, ItemStep{ID: id, Step: r.items[id].Step})
	}
	// An empty list is not encoded, so one empty entry stands for no items.
	if len(steps) == 0 {
		steps = append(steps, ItemStep{})
	}
	return steps
}

// acceptItemSteps sends the items that the peer requests or has at a lower
// step, and requests those that the peer has at a higher step.
func (r *Reducer) acceptItemSteps(from mesh.HostID, m *Message, out *Output) {
	var answer Message
	peerSteps := make(map[string]uint64, len(m.ItemSteps))
	for _, step := range m.ItemSteps {
		peerSteps[step.ID] = step.Step
		known, ok := r.items[step.ID]
		if step.ID != "" && (!ok || known.Step < step.Step) && len(answer.RequestedItems) < maxItemsPerMessage {
			answer.RequestedItems = append(answer.RequestedItems, step.ID)
		}
	}
	requested := make(map[string]bool, len(m.RequestedItems))
	for _, id := range m.RequestedItems {
		requested[id] = true
	}
	for _, id := range sortedKeys(r.items) {
		step, listed := peerSteps[id]
		newer := len(m.ItemSteps) > 0 && (!listed || step < r.items[id].Step)
		if (newer || requested[id]) && len(answer.Items) < maxItemsPerMessage {
			answer.Items = append(answer.Items, r.items[id])
		}
	}
	if len(answer.RequestedItems)+len(answer.Items) > 0 {
		r.send(from, answer, out)
	}
}
