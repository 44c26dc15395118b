// Package client watches the endpoint list and makes calls to the registry. A Watcher
// implements the list and watch calls of the discovery protocol, against the project's
// registry or any other discovery service; a Client implements the registry's API.
//
// The package does not import the implementation of the registry's replicas (Raft and its
// storage), which is therefore not linked into a sidecar.
package client
