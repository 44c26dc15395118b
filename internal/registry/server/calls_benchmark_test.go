package server

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"barleywick/internal/registry"
)

// BenchmarkReads reads a list of 200 instances concurrently, from the leader and from a
// follower of a group of three.
func BenchmarkReads(b *testing.B) {
	g := startGroup(b, 3)
	c := g.client()
	for i := range 200 {
		if _, err := c.Register(testContext(b), registry.RegisterRequest{Instance: instance(fmt.Sprint("s-", i), 1)}); err != nil {
			b.Fatal(err)
		}
	}
	leader := g.leader()
	for name, isLeader := range map[string]bool{"leader": true, "follower": false} {
		b.Run(name, func(b *testing.B) {
			n := leader
			for _, other := range g.nodes {
				if !isLeader && other != leader {
					n = other
				}
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					resp, err := http.Get("http://" + n.member.HTTP + registry.ListPath)
					if err != nil {
						b.Error(err)
						return
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
		})
	}
}

// BenchmarkWrites writes records sequentially to a group of three.
func BenchmarkWrites(b *testing.B) {
	g := startGroup(b, 3)
	c := g.client()
	g.leader()
	b.ReportAllocs()
	for i := range b.N {
		if _, err := c.Put(testContext(b), "key", fmt.Append(nil, i), nil); err != nil {
			b.Fatal(err)
		}
	}
}
