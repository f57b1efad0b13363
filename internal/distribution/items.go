package distribution

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// itemQuiet is the time without new items after which differing digests
	// mean a lost item rather than one on its way.
	itemQuiet = 800 * time.Millisecond
	// maxItemBytes bounds the value of an item.
	maxItemBytes = 16 << 10
	// maxItemsPerMessage bounds the items of one message.
	maxItemsPerMessage = 64
)

// PutItem distributes an item that this node has written to the platform.
func (r *Reducer) PutItem(now mesh.Time, item Item, out *Output) {
	r.now = now
	r.takeItem("", item, out)
}

// Item returns the newest state of an item.
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

// takeItem stores an item with a higher step than the known one and passes it
// on.
func (r *Reducer) takeItem(source mesh.HostID, item Item, out *Output) {
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
	r.itemsSince = r.now
	out.Items = append(out.Items, item)
	for _, host := range r.topology.Links() {
		if host != source {
			r.send(host, Message{Items: []Item{item}}, out)
		}
	}
}

func (i *Item) hash() uint64 {
	h := xxhash.NewWithSeed(i.Step)
	_, _ = h.WriteString(i.ID) // writes to a hash do not fail
	return h.Sum64()
}

func (r *Reducer) acceptItems(from mesh.HostID, items []Item, out *Output) {
	for _, item := range items {
		r.takeItem(from, item, out)
	}
}

func (r *Reducer) itemSteps() []ItemStep {
	steps := make([]ItemStep, 0, len(r.items))
	for _, id := range sortedKeys(r.items) {
		steps = append(steps, ItemStep{ID: id, Step: r.items[id].Step})
	}
	// An empty list would vanish on the wire; this entry stands for no items.
	if len(steps) == 0 {
		steps = append(steps, ItemStep{})
	}
	return steps
}

// acceptItemSteps sends the items that are newer here and asks for those that
// are newer at the peer.
func (r *Reducer) acceptItemSteps(from mesh.HostID, m *Message, out *Output) {
	var answer Message
	theirs := make(map[string]uint64, len(m.ItemSteps))
	for _, step := range m.ItemSteps {
		theirs[step.ID] = step.Step
		known, ok := r.items[step.ID]
		if step.ID != "" && (!ok || known.Step < step.Step) && len(answer.WantItems) < maxItemsPerMessage {
			answer.WantItems = append(answer.WantItems, step.ID)
		}
	}
	wanted := make(map[string]bool, len(m.WantItems))
	for _, id := range m.WantItems {
		wanted[id] = true
	}
	for _, id := range sortedKeys(r.items) {
		step, listed := theirs[id]
		newer := len(m.ItemSteps) > 0 && (!listed || step < r.items[id].Step)
		if (newer || wanted[id]) && len(answer.Items) < maxItemsPerMessage {
			answer.Items = append(answer.Items, r.items[id])
		}
	}
	if len(answer.WantItems)+len(answer.Items) > 0 {
		r.send(from, answer, out)
	}
}
