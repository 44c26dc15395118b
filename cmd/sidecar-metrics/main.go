// Barleywick-metered is barleywick with metrics for Prometheus and with membership of the
// fleet, each of which its configuration turns on. They take some megabytes more of memory.
package main

import (
	"barleywick/internal/metrics"
	"barleywick/internal/sidecar"
	"barleywick/internal/sidecarcmd"
	"barleywick/internal/sidecarmember"
)

func main() {
	sidecarcmd.Main(sidecarcmd.Parts{Meter: func() sidecar.MetricsExporter { return metrics.New() }, Enlist: sidecarmember.New})
}
