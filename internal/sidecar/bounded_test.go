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

// Guards against a peer that sends an endless message and thereby makes this process
// run out of memory.
func TestOversizedPeerMessageIsCutOff(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	sentBytes := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		// The length prefix of gob announces a message of 1 GB.
		_, err = c.Write([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff})
		total, block := 0, make([]byte, 64<<10)
		for err == nil {
			var n int
			n, err = c.Write(block)
			total += n
		}
		sentBytes <- total
	}()
	caller, err := New(Settings{Host: "a", PeerAddr: "a"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	is.True(caller.peers.call(l.Addr().String(), methodExchange, Digest{}, &News{}, time.Minute) != nil)
	const socketBuffers = 8 << 20 // of the kernel, at both ends
	is.True(<-sentBytes < maxMessageBytes+socketBuffers)
}

// Guards against request bodies that together exceed the memory of the process although
// each is within the limit of the configuration.
func TestBodiesOfRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "a", PeerAddr: "a"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	const body, memory = 60 << 10, 256 << 10
	n.bodyMemory = membudget.New(memory)
	var held []*membudget.Buffer
	for len(held) < 100 {
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("x", body)))
		var buffer *membudget.Buffer
		if buffer, err = n.readBody(httptest.NewRecorder(), r); err != nil {
			break
		}
		held = append(held, buffer)
	}
	is.True(errors.Is(err, membudget.ErrExhausted))
	is.True(len(held) > 0 && len(held)*body < memory)
	w := httptest.NewRecorder()
	n.refuseBody(w, httptest.NewRequest(http.MethodPost, "/x", nil), err)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	for _, buffer := range held {
		buffer.Release()
	}
	is.Equal(n.bodyMemory.Free(), memory)
}
