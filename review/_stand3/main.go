package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name.
var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"slow-bodies":  runSlowBodies,
	"forged":       runForged,
	"false-health": runFalseHealth,
	"slow-heads":   runSlowHeads,
}

// timeLimit is the time after which a case is given up.
const timeLimit = 100 * time.Second

func main() {
	program := flag.String("program", "target/chicory-sidecar", "path of the sidecar's program")
	recordPath := flag.String("record", "record.txt", "path of the record")
	keep := flag.Bool("keep", false, "keep the settings and logs of the processes")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *program, *recordPath, *keep))
}

func run(name, program, recordPath string, keep bool) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	execute := cases[name]
	if execute == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitCannotRun
	}
	d, err := newDeployment(program, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer d.close(keep)
	if keep {
		fmt.Println("logs:", d.dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := execute(d, trouble)
		done <- result{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var code int
	select {
	case res := <-done:
		code, err = res.code, res.err
	case <-time.After(timeLimit):
		err = fmt.Errorf("not done after %v", timeLimit)
	case s := <-signals:
		err = fmt.Errorf("ended by signal %v", s)
	}
	if err != nil {
		r.say("the case could not run: %v", err)
		return exitCannotRun
	}
	r.say("trouble %v: %s", trouble, map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitCannotRun: "could not run"}[code])
	return code
}
