package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errBroken is the error of a case whose rule was broken.
var errBroken = errors.New("rule broken")

// cases holds the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) error{
	"hup":     caseHup,
	"leave":   caseLeave,
	"rollout": caseRollout,
	"config":  caseConfig,
	"convict": caseConvict,
	"crashes": caseCrashes,
}

// main runs the case named by the first argument and writes record.txt into the
// folder named by the second one. The exit code is 1 if the rule was broken, 0 if it
// held and 2 if the case couldn't run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{file: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	f, err := newFleet(rec)
	if err == nil {
		stopped := make(chan os.Signal, 1)
		signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
		done := make(chan error, 1)
		go func() { done <- cases[os.Args[1]](f, trouble) }()
		select {
		case err = <-done:
		case s := <-stopped:
			err = fmt.Errorf("stopped by %v", s)
		}
		f.close()
	}
	code := 0
	switch {
	case errors.Is(err, errBroken):
		code = 1
	case err != nil:
		code = 2
	}
	rec.add("exit %d: %v", code, err)
	fmt.Printf("%s: exit %d: %v\n", os.Args[1], code, err)
	_ = file.Close()
	os.Exit(code)
}

// every calls f in its own goroutine at a rate per second until stop is closed.
func every(perS float64, stop <-chan struct{}, f func(k int)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer ticker.Stop()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			go f(k)
		}
	}
}

// atRandom calls f in its own goroutine at random times, at a mean rate per second, until
// stop is closed.
func atRandom(perS float64, stop <-chan struct{}, f func(k int)) {
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perS * float64(time.Second))):
			go f(k)
		}
	}
}
