package clientlimit

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 10 * time.Second

// testListener is a listener of a guard with connections at both ends.
type testListener struct {
	*testing.T
	guard    *Guard
	listener net.Listener
	shed     []bool // the calls of Options.Shedding
}

func newTestListener(t *testing.T, kind Kind, max int, o Options) *testListener {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &testListener{T: t}
	o.Shedding = func(begins bool, _ Counts) { l.shed = append(l.shed, begins) }
	if o.Timeouts == nil {
		o.Timeouts = func() Timeouts {
			return Timeouts{Head: 3 * time.Second, Stall: 15 * time.Second, Idle: 15 * time.Second}
		}
	}
	o.PerAddress = max
	l.guard = New(o)
	l.listener = l.guard.Listener(raw, kind, max)
	t.Cleanup(func() { _ = raw.Close() })
	return l
}

// connect returns the client's and the server's end of a new connection.
func (l *testListener) connect() (client net.Conn, server *Conn) {
	l.Helper()
	client, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		l.Fatal(err)
	}
	l.Cleanup(func() { _ = client.Close() })
	_ = client.SetDeadline(time.Now().Add(testTimeout))
	accepted, err := l.listener.Accept()
	if err != nil {
		l.Fatal(err)
	}
	return client, accepted.(*Conn)
}

// receive sends a text to the server, which reads it.
func (l *testListener) receive(client net.Conn, server *Conn, text string) {
	l.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		l.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, len(text))); err != nil {
		l.Fatal(err)
	}
}

func (l *testListener) open(c *Conn) bool {
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	_, open := l.guard.conns[c]
	return open
}

// ago moves the times of a connection into the past.
func ago(c *Conn, d time.Duration) {
	c.phaseSince.Add(-int64(d))
	c.progressAt.Add(-int64(d))
}

func hundredFields() int { return 100 }

// sweepUntil sweeps every second.
func (l *testListener) sweepUntil(from, to time.Time) {
	for now := from; now.Before(to); now = now.Add(time.Second) {
		l.guard.Sweep(now)
	}
	l.guard.Sweep(to)
}

var roomy = Options{MemoryBytes: 16 << 20, HeaderFields: hundredFields, Pipelined: 3}

// Guards against closing a connection that progresses, or whose client waits for the
// process, while another one holds more and has stalled.
func TestTheConnectionThatHoldsMostAndProgressesLeastIsClosed(t *testing.T) {
	is := is.New(t)
	l := newTestListener(t, Clients, 4, roomy)
	_, small := l.connect()
	largeClient, large := l.connect()
	progressingClient, progressing := l.connect()
	waitingClient, waiting := l.connect()
	l.receive(largeClient, large, "POST / HTTP/1.1\r\n\r\n"+strings.Repeat("b", 60000))
	l.receive(progressingClient, progressing, "POST / HTTP/1.1\r\n\r\n"+strings.Repeat("b", 90000))
	l.receive(waitingClient, waiting, "GET / HTTP/1.1\r\n\r\n")
	waiting.RequestRead()
	for _, c := range []*Conn{small, large, waiting} {
		ago(c, 2*time.Second)
	}
	_, fifth := l.connect()
	is.True(!l.open(large))
	_, sixth := l.connect()
	is.True(!l.open(small))
	is.True(l.open(progressing) && l.open(waiting) && l.open(fifth) && l.open(sixth))
	is.Equal(l.guard.Counts()[Connections], uint64(2))
}

// Guards against a limit on connections that new connections exceed while none may be
// closed.
func TestNewConnectionsAreRefusedWhileAllProgress(t *testing.T) {
	is := is.New(t)
	l := newTestListener(t, Clients, 1, roomy)
	_, first := l.connect()
	refused, err := net.Dial("tcp", l.listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = refused.Close() }()
	go func() { _, _ = l.listener.Accept() }() // refuses; ends when the listener is closed
	_ = refused.SetDeadline(time.Now().Add(testTimeout))
	_, err = refused.Read(make([]byte, 1))
	is.True(err != nil)
	timeout, ok := err.(net.Error)
	is.True(!ok || !timeout.Timeout()) // closed by the listener
	is.True(l.open(first))
}

// Guards against one address that takes the connections of all others, and against
// callers that are kept out by stalled connections of their own address.
func TestConnectionsOfAnAddressAreLimited(t *testing.T) {
	is := is.New(t)
	l := newTestListener(t, Clients, 4, roomy)
	l.guard.options.PerAddress = 2
	_, first := l.connect()
	_, second := l.connect()
	ago(first, 2*time.Second)
	_, third := l.connect()
	is.True(!l.open(first))
	is.True(l.open(second) && l.open(third))
	is.Equal(l.guard.Counts()[Address], uint64(1))
	is.Equal(l.guard.Counts()[Connections], uint64(0))
}

// Guards against timeouts that cut off a client within the limits of the configuration:
// a head that takes its whole time, a connection idle for four fifths of the idle timeout,
// and a client that waits for a slow instance.
func TestClientsWithinTheLimitsAreKept(t *testing.T) {
	is := is.New(t)
	l := newTestListener(t, Clients, 4, roomy)
	headClient, head := l.connect()
	_, idle := l.connect()
	_, waiting := l.connect()
	l.receive(headClient, head, "GET /")
	idle.RequestEnded()
	waiting.RequestRead()
	now := time.Now()
	l.sweepUntil(now, now.Add(2900*time.Millisecond))
	is.True(l.open(head))
	l.sweepUntil(now.Add(3*time.Second), now.Add(12*time.Second))
	is.True(!l.open(head))
	is.True(l.open(idle))
	l.sweepUntil(now.Add(13*time.Second), now.Add(time.Minute))
	is.True(!l.open(idle))
	is.True(l.open(waiting))
	is.Equal(l.guard.Counts()[HeadTimeout], uint64(1))
	is.Equal(l.guard.Counts()[Idle], uint64(1))
}

// Guards against closing all connections after the process was frozen: their clients may
// have sent requests meanwhile.
func TestConnectionsSurviveAFreeze(t *testing.T) {
	is := is.New(t)
	l := newTestListener(t, Clients, 4, roomy)
	_, idle := l.connect()
	idle.RequestEnded()
	now := time.Now()
	l.sweepUntil(now, now.Add(2*time.Second))
	l.sweepUntil(now.Add(time.Minute), now.Add(70*time.Second))
	is.True(l.open(idle))
	l.sweepUntil(now.Add(71*time.Second), now.Add(2*time.Minute))
	is.True(!l.open(idle))
}

// Guards against bodies and answers that stop for ever, which held their connections.
func TestStalledBodiesAndAnswersAreClosed(t *testing.T) {
	is := is.New(t)
	l := newTestListener(t, Clients, 4, roomy)
	client, body := l.connect()
	l.receive(client, body, "POST / HTTP/1.1\r\n\r\n")
	_, ok := body.RequestBegan(10)
	is.True(ok)
	_, answer := l.connect()
	answer.RequestRead()
	written := make(chan error, 1)
	go func() { _, err := answer.Write(make([]byte, 64<<20)); written <- err }()
	for deadline := time.Now().Add(testTimeout); !answer.writing.Load() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // polled: there is no event to wait for
	}
	l.sweepUntil(time.Now(), time.Now().Add(time.Minute))
	is.True(!l.open(body) && !l.open(answer))
	is.True(<-written != nil)
	is.Equal(l.guard.Counts()[Stalled], uint64(2))
}

// Guards against heads whose fields are neither counted nor charged, and against charges
// that outlast their request.
func TestFieldsAreLimitedAndCharged(t *testing.T) {
	is := is.New(t)
	l := newTestListener(t, Clients, 4, roomy)
	client, server := l.connect()
	l.receive(client, server, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 90)+"\r\n")
	is.True(server.charge > connCharge+90*fieldCharge)
	_, ok := server.RequestBegan(0)
	is.True(ok)
	server.RequestEnded()
	is.Equal(l.guard.charged, connCharge)
	_, err := io.WriteString(client, strings.Repeat("a:\r\n", 110))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, onlyReader{server})
	is.Equal(err, errShed)
	is.Equal(l.guard.Counts()[Fields], uint64(1))
	is.NoErr(server.Close())
	is.Equal(l.guard.charged, 0)
	is.Equal(l.shed, []bool{true})
	l.sweepUntil(time.Now(), time.Now().Add(time.Minute))
	is.Equal(l.shed, []bool{true, false})
}

// onlyReader hides the other methods of a connection.
type onlyReader struct{ io.Reader }

// Guards against requests that are sent ahead without end, and against counting those of
// a client that waits for its answers.
func TestRequestsSentAheadAreLimited(t *testing.T) {
	is := is.New(t)
	l := newTestListener(t, Clients, 4, roomy)
	client, server := l.connect()
	begin := func() bool {
		_, ok := server.RequestBegan(0)
		server.RequestEnded()
		return ok
	}
	for range 10 {
		l.receive(client, server, "GET / HTTP/1.1\r\n\r\n")
		is.True(begin())
	}
	for range roomy.Pipelined {
		is.True(begin()) // without a Read: the request was received with an earlier one
	}
	is.True(!begin())
	is.Equal(l.guard.Counts()[Pipelined], uint64(1))
}

// Guards against requests that run on, and requests sent ahead that run at all, after their
// client has left.
func TestClientThatHasSentAheadIsNoticedWhenItLeaves(t *testing.T) {
	is := is.New(t)
	l := newTestListener(t, Clients, 4, roomy)
	client, server := l.connect()
	ctx := WithConn(t.Context(), server)
	for range 2 { // the second request is sent ahead, and net/http reads its first byte
		l.receive(client, server, "GET / HTTP/1.1\r\n\r\n")
		server.RequestBegan(0)
		server.RequestRead()
		l.receive(client, server, "G")
		time.Sleep(2 * departureCheckInterval) // the client stays for some checks
		is.NoErr(ctx.Err())
		server.RequestEnded()
	}
	server.RequestBegan(0)
	l.receive(client, server, "G")
	_, err := io.WriteString(client, "ET / HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	is.NoErr(client.Close())
	select {
	case <-ctx.Done():
	case <-time.After(testTimeout):
		t.Fatal("the requests of a client that has left are still in progress")
	}
	_, err = server.Read(make([]byte, 100))
	is.True(err != nil) // the rest of the second request doesn't arrive
}

// Guards against a few clients that hold so much that none is left for ordinary ones.
func TestLargeHoldersLeaveMemoryToSmallOnes(t *testing.T) {
	is := is.New(t)
	l := newTestListener(t, Clients, 100, Options{MemoryBytes: 4 << 20, HeaderFields: hundredFields, Pipelined: 3})
	holders := 0
	for range 20 {
		_, c := l.connect()
		if c.Charge(512 << 10) {
			holders++
		}
	}
	is.True(holders > 0)
	_, ordinary := l.connect()
	is.True(ordinary.Charge(8 << 10))
}
