//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["restore"] = restoreCase }

const (
	restoreRecords = 240 // of 1024 that a group takes
	recordBytes    = 32 << 10
)

// restoreCase: all disks of a group are lost. Its backup is restored into a new group of the same name.
func restoreCase(h *harness) bool {
	g := h.startRegistry(1, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	values := make(map[string][]byte)
	for i := range restoreRecords {
		value := make([]byte, recordBytes)
		for j := range value {
			value[j] = byte(rand.Uint32())
		}
		key := fmt.Sprintf("workflow-%03d", i)
		status, err := call(ctx, "PUT", g.api(0, "records/"+key), map[string]any{"value": base64.StdEncoding.EncodeToString(value), "if_version": 0}, nil)
		if err != nil || status != http.StatusOK {
			h.fail("PUT %s: status %d, %v", key, status, err)
		}
		values[key] = value
	}
	var backup []byte
	if status, err := call(ctx, "GET", g.api(0, "backup"), nil, &backup); err != nil || status != http.StatusOK {
		h.fail("backup: status %d, %v", status, err)
	}
	h.say("%d records were acknowledged, and a backup of %d bytes was read", len(values), len(backup))
	if h.trouble {
		g.procs[0].kill()
		h.must(os.RemoveAll(filepath.Join(h.dir, "data-r1")), "data folder")
		h.note("disruption: all disks of the group are lost")
		g = h.startRegistry(1, nil, nil)
		var answer []byte
		status, err := call(ctx, "POST", g.api(0, "restore"), backup, &answer)
		h.say("restore: status %d, %v, %s", status, err, strings.TrimSpace(string(answer)))
	}
	lost := 0
	for key, value := range values {
		var record struct {
			Value []byte `json:"value"`
		}
		status, err := call(ctx, "GET", g.api(0, "records/"+key+"?linearizable=1"), nil, &record)
		h.must(err, "GET")
		if status != http.StatusOK || !bytes.Equal(record.Value, value) {
			lost++
		}
	}
	h.say("%d of %d records are lost", lost, len(values))
	return lost > 0
}
