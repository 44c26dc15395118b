package controller

import (
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"barleywick/internal/registry"
	"barleywick/internal/testing/fixture"
)

// A configuration file is read to the same values as by revision 396a775.
func TestConfigurationsOf396a775(t *testing.T) {
	for _, name := range []string{"example", "all-keys", "minimal"} {
		c, err := ParseConfig(fixture.Read(t, name+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		want := fixture.Read(t, name+".read.toml")
		if got, err := toml.Marshal(c); err != nil || string(got) != string(want) {
			t.Errorf("%s: got %s, %v, want %s", name, got, err, want)
		}
	}
}

// The names of the tasks' leases are unchanged: controllers of other versions claim them, too.
func TestLeasesOf396a775(t *testing.T) {
	c, err := LoadConfig(filepath.Join(fixture.Folder, "all-keys.toml"))
	if err != nil {
		t.Fatal(err)
	}
	const want = "drains, health-0, health-1, health-2, health-3, health-4, health-5, health-6, health-7, policy, overload, copies"
	if got := strings.Join(c.LeaseNames(), ", "); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestHealthAdviceOf396a775(t *testing.T) {
	text := fixture.Read(t, "health-advice.json")
	var got map[string]HealthAdvice
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	want := map[string]HealthAdvice{"s-3": {ConsecutiveFailures: 3, SinceMS: 1_800_000_000_000, LastError: "answers 503"}}
	if !maps.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if encoded, err := json.Marshal(got); err != nil || string(encoded) != string(text) {
		t.Errorf("encoded as %s, %v, want %s", encoded, err, text)
	}
}

// A backup folder of revision 396a775 is read, its fencing token is enforced, and further backups are
// saved to it.
func TestBackupOf396a775(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join(fixture.Folder, "copies"))); err != nil {
		t.Fatal(err)
	}
	folder := &BackupFolder{Dir: dir, Keep: 2}
	names := func() (names []string) {
		paths, err := folder.Paths()
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			names = append(names, filepath.Base(path))
		}
		return names
	}
	before := []string{"registry-20270115T080500.000000Z.json", "registry-20270115T081000.000000Z.json"}
	if got := names(); !slices.Equal(got, before) {
		t.Fatalf("got %v, want %v", got, before)
	}
	backup, err := ReadBackup(filepath.Join(dir, before[1]))
	if err != nil {
		t.Fatal(err)
	}
	at := time.UnixMilli(1_800_000_900_000)
	if _, err := folder.Save(t.Context(), 8, at, backup); !errors.Is(err, registry.ErrFenced) {
		t.Errorf("a lower token: got %v, want %v", err, registry.ErrFenced)
	}
	if _, err := folder.Save(t.Context(), 9, at, backup); err != nil {
		t.Errorf("the token of the last backup: got error %v, want none", err)
	}
	after := []string{before[1], "registry-20270115T081500.000000Z.json"}
	if got := names(); !slices.Equal(got, after) {
		t.Errorf("got %v, want %v", got, after)
	}
	for _, file := range []struct{ was, is string }{{before[1], after[1]}, {before[1] + ".sha256", after[1] + ".sha256"}} {
		text, err := os.ReadFile(filepath.Join(dir, file.is))
		if want := strings.ReplaceAll(string(fixture.Read(t, filepath.Join("copies", file.was))), before[1], after[1]); err != nil || string(text) != want {
			t.Errorf("%s: got %q, %v, want %q", file.is, text, err, want)
		}
	}
	if text, err := os.ReadFile(filepath.Join(dir, "fence")); err != nil || string(text) != "00000000000000000009\n" {
		t.Errorf("fence: got %q, %v, want token 9 in 20 digits", text, err)
	}
}

// A backup of revision 396a775 is restored into a new group.
func TestBackupOf396a775IsRestored(t *testing.T) {
	backup, err := ReadBackup(filepath.Join(fixture.Folder, "copies", "registry-20270115T081000.000000Z.json"))
	if err != nil {
		t.Fatal(err)
	}
	_, c := startGroup(t, "g")
	if err := c.Restore(t.Context(), backup); err != nil {
		t.Fatal(err)
	}
	got, err := c.Registrations(t.Context())
	if err != nil || len(got.Registrations) != 2 || got.Registrations[0].Host != "s-1" || got.Registrations[1].Machine != "m-1" || got.Marks["s-2"] != "ops-a" {
		t.Errorf("after the restore: got %+v, %v, want s-1, and a server of m-1 with s-2 marked by ops-a", got, err)
	}
}
