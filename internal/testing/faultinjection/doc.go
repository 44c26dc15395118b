// Package faultinjection injects faults into real processes and into the links between them. Each
// directed link is a relay on loopback: the first process is configured with the relay's address in
// place of the second one's. A link can delay, throttle, block one direction or both, reset
// connections or one side of them, and drop responses whose requests were delivered. Faults of
// processes are signals and resource limits. Schedules of faults are drawn from a seed, written as
// text, shrunk and replayed.
package faultinjection
