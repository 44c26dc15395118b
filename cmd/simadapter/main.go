// Simadapter runs the decision module on the simulator's wire, on standard input and
// output: many instances in one process.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"barleywick/internal/simulation/simadapter"
)

func main() {
	// One batch is answered at a time, so more threads only add cost; the
	// heap is small, so collecting it rarely is cheap and keeps batches even.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(800)
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
