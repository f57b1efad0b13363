package publish

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// MaxHistoryRows is the largest number of rows in one history reply.
const MaxHistoryRows = 200

// Publisher is the reducer of one node. It keeps only requests in progress.
type Publisher struct{}

// New returns a Publisher without requests.
func New() *Publisher { return &Publisher{} }

// Apply starts the publication of a snapshot.
func (p *Publisher) Apply(now mesh.Time, ev *Apply, out *Effects) {}

// ReadHistory starts a read of the history.
func (p *Publisher) ReadHistory(now mesh.Time, ev *ReadHistory, out *Effects) {}

// StartMove starts the creation of a move.
func (p *Publisher) StartMove(now mesh.Time, ev *StartMove, out *Effects) {}

// WithdrawMove starts the recording of a withdrawal.
func (p *Publisher) WithdrawMove(now mesh.Time, ev *WithdrawMove, out *Effects) {}

// PlatformResult continues the request that res belongs to. A result of a
// request that has already been replied to is ignored.
func (p *Publisher) PlatformResult(now mesh.Time, res *platform.Result, out *Effects) {}

// Tick repeats operations whose retry is due and replies to requests past
// their deadline.
func (p *Publisher) Tick(now mesh.Time, out *Effects) {}
