// Package client follows the endpoint list and makes calls to the registry. A Watcher
// speaks the discovery protocol's list and watch, with the project's registry and with
// any other discovery service; a Client speaks the registry's API.
//
// The package does not link the implementation of the registry's replicas (Raft and its
// storage), so that a sidecar carries none of it.
package client
