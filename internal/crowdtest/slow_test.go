package crowdtest

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"
)

// getTargets are requests without a body to all addresses that speak HTTP.
func (s *sidecar) getTargets() []target {
	targets := s.allTargets()
	for i := range targets {
		targets[i].head = strings.Replace(targets[i].head, "POST", "GET", 1)
	}
	return targets
}

// limitReceiveBuffer lets the client take only a few bytes of the answers.
func limitReceiveBuffer(c net.Conn) { _ = c.(*net.TCPConn).SetReadBuffer(4 << 10) }

// Guards against requests that are sent ahead without reading the answers: their answers
// must not collect in the process.
func TestPipelinedRequestsWithoutReading(t *testing.T) {
	s := start(t, lowered)
	s.attack(crowdSize, s.getTargets(), plainRequest, func(t target) member {
		return func(c net.Conn) {
			limitReceiveBuffer(c)
			sendAll(strings.Repeat(t.head+"\r\n", 300))(c)
		}
	})
}

// Guards against clients that ask for large answers and don't read them. The ordinary
// request has a large answer too: a slow reader must not hold the host's link.
func TestSlowReadersOfLargeAnswers(t *testing.T) {
	s := start(t, lowered)
	head := "GET /read/large HTTP/1.1\r\nHost: " + hostName + "\r\n\r\n"
	s.attack(crowdSize, []target{{s.call, head}}, ordinary{path: "/read/large"}, func(t target) member {
		return func(c net.Conn) {
			limitReceiveBuffer(c)
			sendAll(strings.Repeat(t.head, 4))(c)
		}
	})
}

// sendSlowly sends a text byte by byte until sendLimit.
func sendSlowly(c net.Conn, text string) {
	for i := range len(text) {
		if _, err := c.Write([]byte{text[i]}); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against heads that arrive byte by byte.
func TestSlowSendersOfHeads(t *testing.T) {
	s := start(t, lowered)
	s.attack(crowdSize, s.allTargets(), plainRequest, func(t target) member {
		return func(c net.Conn) { sendSlowly(c, t.head[:15]) }
	})
}

// Guards against bodies that arrive byte by byte.
func TestSlowSendersOfBodies(t *testing.T) {
	s := start(t, lowered)
	s.attack(crowdSize, s.allTargets(), plainRequest, func(t target) member {
		return func(c net.Conn) {
			sendAll(t.head + "Content-Length: 16000\r\n\r\n")(c)
			sendSlowly(c, "123456789012345")
		}
	})
}

// Guards against clients that stop in the middle of a head.
func TestHeadsThatStopHalfWay(t *testing.T) {
	s := start(t, lowered)
	s.attack(crowdSize, append(s.allTargets(), target{s.peer, "\x40"}), plainRequest, func(t target) member {
		return sendAll(t.head + strings.Repeat("X-Field: value\r\n", 100)[:min(len(t.head)*20, 1500)])
	})
}

// Guards against clients that connect and never send.
func TestSilentClients(t *testing.T) {
	s := start(t, lowered)
	s.attack(crowdSize, append(s.allTargets(), target{s.peer, ""}), plainRequest, func(target) member { return func(net.Conn) {} })
}

// Guards against messages at the address for peers that state a large length and stop
// one byte short: the length alone must not allocate memory.
func TestPeerMessagesThatStopShort(t *testing.T) {
	s := start(t, lowered)
	const size = 8<<20 - 100
	prefix := append([]byte{0xfc}, binary.BigEndian.AppendUint32(nil, size)...) // gob's encoding of a length of four bytes
	payload := string(prefix) + strings.Repeat("p", size-1)
	s.attack(24, []target{{s.peer, ""}}, plainRequest, func(target) member { return sendAll(payload) })
}

// Guards against calls at the address for peers that are sent ahead without reading the
// replies.
func TestPipelinedPeerCallsWithoutReading(t *testing.T) {
	s := start(t, lowered)
	var calls bytes.Buffer
	encoder := gob.NewEncoder(&calls)
	for i := range 4000 {
		if err := encoder.Encode(rpc.Request{ServiceMethod: "Peer.Await", Seq: uint64(i)}); err != nil {
			t.Fatal(err)
		}
		if err := encoder.Encode(struct{ Members []byte }{}); err != nil {
			t.Fatal(err)
		}
	}
	s.attack(30, []target{{s.peer, ""}}, plainRequest, func(target) member {
		return func(c net.Conn) {
			limitReceiveBuffer(c)
			sendAll(calls.String())(c)
		}
	})
}

// Guards against a process that ends because the kernel refuses a descriptor for a
// connection at the address for peers.
func TestCrowdAtTheKernelsDescriptorLimit(t *testing.T) {
	s := start(t, hostLimits{memoryMb: memoryMb, bodyBytes: bodyBytes, kernelDescriptors: fileDescriptors})
	s.attack(crowdSize, []target{{s.peer, ""}}, plainRequest, func(target) member { return func(net.Conn) {} })
}

// Guards against limits that refuse a single large request while there is no crowd.
func TestLargeRequestWithoutACrowd(t *testing.T) {
	s := start(t, lowered)
	if err := s.send(ordinary{path: "/order/large", bodyBytes: bodyBytes}); err != nil {
		t.Error(err)
	}
	s.check(plainRequest)
}

// Guards against a body of the usual limit, 64 MB, that the smallest host refuses, or for
// which it needs more memory than it has, while there is no crowd.
func TestLargestBodyOnTheSmallestHost(t *testing.T) {
	const bytes = 64 << 20
	s := start(t, hostLimits{memoryMb: 184, bodyBytes: bytes})
	for range 3 {
		if err := s.send(ordinary{path: "/order/large", bodyBytes: bytes}); err != nil {
			t.Error(err)
		}
	}
	s.check(plainRequest)
}
