// Command stand plays one case of the review: it starts the sidecars as processes on
// loopback addresses, with stand-ins of the platform's store, of instances and of clients,
// and judges one rule by what these have seen.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases holds the cases by name.
var cases = map[string]func(*world) verdict{
	"poison-returns": poisonReturns,
	"poison-blocks":  poisonBlocks,
	"slow-rollout":   slowRollout,
	"pipelined":      pipelined,
	"long-ids":       longIDs,
	"options":        connectionOptions,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and writes record.txt to the folder.
func play(name, program, folder string) int {
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(program, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.close()
		os.Exit(exitNotRun)
	}()
	v := cases[name](w)
	w.log("verdict", "%s", v.text)
	fmt.Println(v.text)
	if err := w.writeRecord(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return v.code
}
