// Simadapter runs many instances of the decision module in one process and serves them to the simulator
// over its wire protocol, on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"barleywick/internal/simulation/simadapter"
)

func main() {
	// Batches are processed one at a time, so more threads only add cost. The heap is small, so
	// infrequent garbage collection takes little memory and keeps batch durations even.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(800)
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
