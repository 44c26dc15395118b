// Barleywick is the sidecar: it runs beside one application process and carries
// its requests to the booking servers.
package main

import "barleywick/internal/sidecarcmd"

func main() { sidecarcmd.Main(sidecarcmd.Parts{}) }
