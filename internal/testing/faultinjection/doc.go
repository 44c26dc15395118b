// Package faultinjection injects faults between real processes and into them. Each directed
// link from one process to another is a relay on loopback, which the first is told to call
// instead of the second. A link can delay, throttle, block one direction or both, reset or
// half-close connections, and drop responses whose requests were delivered. Faults of
// processes are signals and limits, by process id. Schedules of faults are drawn from a
// seed, written as text, shrunk and run again.
package faultinjection
