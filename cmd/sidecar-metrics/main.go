// Sidecar-metrics is the sidecar with Prometheus metrics and fleet membership, each of which is enabled in
// its configuration. They take some megabytes of additional memory.
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
