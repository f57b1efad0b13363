package main

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reading the wrong fields when the name of a program contains
// spaces or parentheses, and against accepting a truncated file.
func TestParseProcessFiles(t *testing.T) {
	is := is.New(t)
	cpuTime, err := parseCPUTime("12 (a b) c) S 1 1 1 0 -1 4194560 9 0 0 0 150 25 0 0 20 0 8 0 99")
	is.NoErr(err)
	is.Equal(cpuTime, 1750*time.Millisecond)
	_, err = parseCPUTime("12 (a) S 1 1")
	is.True(err != nil)
	resident, err := parseResidentBytes("9000 100 50 1 0 0 0")
	is.NoErr(err)
	is.Equal(resident, 100*float64(os.Getpagesize()))
	_, err = parseResidentBytes("9000")
	is.True(err != nil)
}

// Guards against counting listening and closing sockets as connections.
func TestEstablishedSockets(t *testing.T) {
	is := is.New(t)
	table := filepath.Join(t.TempDir(), "tcp")
	is.NoErr(os.WriteFile(table, []byte(`  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1B58 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 11 1
   1: 0100007F:1B58 0100007F:9C40 01 00000000:00000000 00:00000000 00000000     0        0 22 1
   2: 0100007F:1B58 0100007F:9C42 06 00000000:00000000 00:00000000 00000000     0        0 0 1
`), 0o600))
	sockets, err := establishedSockets(table)
	is.NoErr(err)
	is.Equal(sockets, map[string]bool{"socket:[22]": true})
}

// Guards against a wrong slope, and against a division by zero with one size.
func TestFitLine(t *testing.T) {
	is := is.New(t)
	line := fitLine([]float64{6, 12, 24}, []float64{13, 25, 49})
	is.True(math.Abs(line.Slope-2) < 1e-9)
	is.True(math.Abs(line.Intercept-1) < 1e-9)
	is.True(math.Abs(line.RSquared-1) < 1e-9)
	is.Equal(fitLine([]float64{6, 6}, []float64{3, 5}), fit{Intercept: 4})
	is.Equal(summarize([]float64{4, 1, 3, 2}), summary{2.5, 1, 4})
}

// Guards against a peak that is underestimated because it spans two or more polls.
func TestBusiestSecond(t *testing.T) {
	is := is.New(t)
	totals := []uint64{100, 100, 130, 160, 160}
	for range 12 {
		totals = append(totals, 165)
	}
	is.Equal(busiestSecond(totals), 65.0)
	is.Equal(busiestSecond([]uint64{7}), 0.0)
}
