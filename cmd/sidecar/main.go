// Sidecar is the client-side load balancer: it runs beside one client process and forwards
// its requests to the booking servers.
package main

import "barleywick/internal/sidecarcmd"

func main() { sidecarcmd.Main(sidecarcmd.Program{Name: "sidecar", FormerName: "barleywick"}) }
