// Sidecar-metrics is the sidecar with Prometheus metrics and with membership of the fleet, each of
// which its configuration turns on. They take some megabytes more of memory.
package main

import (
	"barleywick/internal/metrics"
	"barleywick/internal/sidecar"
	"barleywick/internal/sidecarcmd"
	"barleywick/internal/sidecarmember"
)

func main() {
	sidecarcmd.Main(sidecarcmd.Program{
		Name: "sidecar-metrics", FormerName: "barleywick-metered",
		NewExporter: func() sidecar.MetricsExporter { return metrics.New() },
		NewMember:   sidecarmember.New,
	})
}
