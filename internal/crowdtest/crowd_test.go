package crowdtest

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients of a crowd. It exceeds the descriptors of the
	// host.
	crowdSize = 420
	// holdTime is the time for which the crowd keeps its connections open before the
	// process is checked.
	holdTime = 500 * time.Millisecond
	// sendLimit bounds the time for which one client sends.
	sendLimit = 2 * time.Second
)

// member is one client of a crowd. It returns when it has sent what it sends; its
// connection stays open.
type member func(c net.Conn)

// target is an address with a head that is sent to it, up to the fields that depend on
// the form of abuse.
type target struct {
	addr, head string
}

// callTargets are routes, paths without a route and the address for requests of other
// hosts, which takes bodies and large heads.
func (s *sidecar) callTargets() []target {
	return []target{
		{s.call, "POST /read/x HTTP/1.1\r\nHost: " + hostName + "\r\n"},
		{s.call, "POST /order/x HTTP/1.1\r\nHost: " + hostName + "\r\nX-Attempt-Identifier: crowd\r\n"},
		{s.call, "POST /none/x HTTP/1.1\r\nHost: " + hostName + "\r\n"},
		{s.forward, "POST /read/x HTTP/1.1\r\nHost: " + hostName + "\r\nChicory-Call: i-0;read;0;2000;1000;1;0;3\r\n"},
	}
}

// controlTargets are the addresses for the instance and the platform.
func (s *sidecar) controlTargets() []target {
	return []target{
		{s.ready, "POST /ready HTTP/1.1\r\nHost: a\r\n"},
		{s.control, "POST /rpc?call=instances.heartbeat&of=i-9 HTTP/1.1\r\nHost: a\r\n"},
		{s.metrics, "POST /metrics HTTP/1.1\r\nHost: a\r\n"},
	}
}

func (s *sidecar) allTargets() []target { return append(s.callTargets(), s.controlTargets()...) }

// attack connects size clients, spread evenly over the targets, lets all of them send,
// checks the process while they stay connected, and then disconnects them.
func (s *sidecar) attack(size int, targets []target, after ordinary, client func(t target) member) {
	s.Helper()
	var group sync.WaitGroup
	conns := make([]net.Conn, size)
	for i := range conns {
		t := targets[i%len(targets)]
		c, err := net.DialTimeout("tcp", t.addr, time.Second)
		if err != nil {
			continue // the process may refuse connections of a crowd
		}
		conns[i] = c
		_ = c.SetWriteDeadline(time.Now().Add(sendLimit))
		group.Go(func() { client(t)(c) })
	}
	group.Wait()
	time.Sleep(holdTime) // leaves the process the time to read what was sent
	s.check(after)
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// sendAll returns a client that sends the texts one after the other.
func sendAll(texts ...string) member {
	return func(c net.Conn) {
		for _, text := range texts {
			if _, err := c.Write([]byte(text)); err != nil {
				return
			}
		}
	}
}

// pieces splits a text into pieces of the given size.
func pieces(text string, size int) []string {
	var out []string
	for len(text) > size {
		out, text = append(out, text[:size]), text[size:]
	}
	return append(out, text)
}

// manyFields returns short header fields with different names, of about the given total
// size.
func manyFields(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		b.Write([]byte{'z', letters[i%36], letters[i/36%36], letters[i/1296%36], ':', '\r', '\n'})
	}
	return b.String()
}

// Ordinary requests after a crowd: without a body, and with one of half the limit.
var (
	plainRequest = ordinary{path: "/read/after"}
	bodyRequest  = ordinary{path: "/order/after", bodyBytes: bodyBytes / 2}
)

// heavyCrowd is the size of a crowd whose requests have large bodies.
const heavyCrowd = 120

// Guards against bodies in progress that take more memory than the host has, or that keep
// the memory for bodies from ordinary requests.
func TestBodiesInOnePieceThatStopShort(t *testing.T) {
	s := start(t, lowered)
	body := strings.Repeat("b", bodyBytes-1)
	s.attack(heavyCrowd, s.callTargets(), bodyRequest, func(t target) member {
		return sendAll(t.head+"Content-Length: 2097152\r\n\r\n", body)
	})
}

// Guards against many bodies that are each too small for the budget of large ones.
func TestBodiesInSmallPiecesThatStopShort(t *testing.T) {
	s := start(t, lowered)
	texts := pieces(strings.Repeat("b", 15999), 400)
	s.attack(crowdSize, s.allTargets(), bodyRequest, func(t target) member {
		return sendAll(append([]string{t.head + "Content-Length: 16000\r\n\r\n"}, texts...)...)
	})
}

// Guards against chunked bodies, whose length is not known before their end.
func TestChunkedBodiesThatStopShort(t *testing.T) {
	s := start(t, lowered)
	texts := make([]string, 150)
	for i := range texts {
		texts[i] = "64\r\n" + strings.Repeat("c", 100) + "\r\n"
	}
	s.attack(crowdSize, s.allTargets(), bodyRequest, func(t target) member {
		return sendAll(append([]string{t.head + "Transfer-Encoding: chunked\r\n\r\n"}, append(texts, "0\r\n\r")...)...)
	})
}

// Guards against bodies over the limit that are read on, or kept, until their end.
func TestBodiesOverTheLimit(t *testing.T) {
	s := start(t, lowered)
	chunk := "40000\r\n" + strings.Repeat("c", 0x40000) + "\r\n"
	s.attack(heavyCrowd, s.allTargets(), bodyRequest, func(t target) member {
		return sendAll(t.head+"Transfer-Encoding: chunked\r\n\r\n", chunk, chunk, chunk, chunk, chunk, chunk, chunk, chunk, chunk, chunk)
	})
}

// Guards against bodies whose stated length is far over the limit.
func TestBodiesThatStateALargeLength(t *testing.T) {
	s := start(t, lowered)
	body := strings.Repeat("b", 60000)
	s.attack(crowdSize, s.allTargets(), bodyRequest, func(t target) member {
		return sendAll(t.head+"Content-Length: 9000000000\r\n\r\n", body)
	})
}

// Guards against heads of legal size whose many fields take many times that size in
// memory while the body is awaited.
func TestHeadsOfManyFields(t *testing.T) {
	s := start(t, lowered)
	fields := manyFields(15 << 10)
	s.attack(crowdSize, s.allTargets(), plainRequest, func(t target) member {
		return sendAll(t.head+fields+"Content-Length: 10\r\n\r\n", "123456789")
	})
}

// Guards against heads of many fields that are complete requests, one after the other.
func TestRequestsOfManyFields(t *testing.T) {
	s := start(t, lowered)
	request := manyFields(15<<10) + "Content-Length: 0\r\n\r\n"
	s.attack(crowdSize, s.callTargets(), plainRequest, func(t target) member {
		return sendAll(t.head+request, t.head+request, t.head+request)
	})
}

// Guards against trailers of many fields.
func TestTrailersOfManyFields(t *testing.T) {
	s := start(t, lowered)
	trailers := manyFields(15 << 10)
	s.attack(crowdSize, s.allTargets(), plainRequest, func(t target) member {
		return sendAll(t.head+"Transfer-Encoding: chunked\r\nTrailer: zaaa\r\n\r\n1\r\nx\r\n0\r\n", trailers)
	})
}

// Guards against chunk extensions, which are no part of a body and escape its limit.
func TestChunkExtensions(t *testing.T) {
	s := start(t, lowered)
	chunk := "1;" + strings.Repeat("e", 4000) + "\r\nx\r\n"
	texts := []string{chunk, chunk, chunk, chunk, chunk, chunk, chunk, chunk}
	s.attack(crowdSize, s.allTargets(), plainRequest, func(t target) member {
		return sendAll(append([]string{t.head + "Transfer-Encoding: chunked\r\n\r\n"}, texts...)...)
	})
}
