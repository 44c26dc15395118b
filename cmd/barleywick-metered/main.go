// Barleywick-metered is barleywick with metrics for Prometheus, which its
// configuration turns on. It takes some megabytes more of memory.
package main

import (
	"barleywick/internal/command"
	"barleywick/internal/metrics"
	"barleywick/internal/sidecar"
)

func main() { command.Main(func() sidecar.Meter { return metrics.New() }) }
