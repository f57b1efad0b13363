package sidecar

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/membudget"
)

// Guards against a peer that sends a message without end and so ends this process.
func TestEndlessMessageOfAPeerIsCutOff(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	sent := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		// The prefix of gob states a message of 1 GB.
		_, err = c.Write([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff})
		total, block := 0, make([]byte, 64<<10)
		for err == nil {
			var n int
			n, err = c.Write(block)
			total += n
		}
		sent <- total
	}()
	caller, err := New(Settings{Host: "a", PeerAddr: "a"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	is.True(caller.peers.call(l.Addr().String(), methodExchange, Digest{}, &News{}, time.Minute) != nil)
	const socketBuffers = 8 << 20 // of the kernel, at both ends
	is.True(<-sent < maxMessageBytes+socketBuffers)
}

// Guards against bodies of requests that together take the memory of the process,
// each within the limit of the configuration.
func TestBodiesOfRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "a", PeerAddr: "a"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	const body, memory = 60 << 10, 256 << 10
	n.memory = membudget.New(memory)
	var held []*membudget.Buffer
	for len(held) < 100 {
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("x", body)))
		var content *membudget.Buffer
		if content, err = n.readBody(httptest.NewRecorder(), r); err != nil {
			break
		}
		held = append(held, content)
	}
	is.True(errors.Is(err, membudget.ErrExhausted))
	is.True(len(held) > 0 && len(held)*body < memory)
	w := httptest.NewRecorder()
	n.refuseBody(w, httptest.NewRequest(http.MethodPost, "/x", nil), err)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	for _, content := range held {
		content.Release()
	}
	is.Equal(n.memory.Free(), memory)
}
