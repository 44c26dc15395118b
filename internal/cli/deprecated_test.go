package cli

import (
	"bytes"
	"testing"

	"github.com/spf13/cobra"
)

func TestFormerProgramNamePrintsWarning(t *testing.T) {
	for argv0, want := range map[string]string{
		"/opt/bin/old": "old: this name is deprecated, use new\n",
		"old":          "old: this name is deprecated, use new\n",
		"/opt/old/new": "",
	} {
		var errs bytes.Buffer
		WarnFormerProgram(&errs, argv0, "old", "new")
		if got := errs.String(); got != want {
			t.Errorf("%s: got %q, want %q", argv0, got, want)
		}
	}
}

func TestFormerEnvironmentVariableIsFallback(t *testing.T) {
	const warning = "OLD is deprecated, use NEW\n"
	for _, c := range []struct {
		env           map[string]string
		value, warned string
	}{
		{map[string]string{"NEW": "a", "OLD": "b"}, "a", ""},
		{map[string]string{"OLD": "b"}, "b", warning},
		{nil, "", ""},
	} {
		var errs bytes.Buffer
		got := LookupEnv(func(name string) string { return c.env[name] }, &errs, "NEW", "OLD")
		if got != c.value || errs.String() != c.warned {
			t.Errorf("%v: got %q, %q; want %q, %q", c.env, got, errs.String(), c.value, c.warned)
		}
	}
}

func TestFormerCommandNamePrintsWarning(t *testing.T) {
	for called, warned := range map[string]string{"new": "", "old": "the command old is deprecated, use new\n"} {
		var out, errs bytes.Buffer
		ran := false
		root := &cobra.Command{Use: "program"}
		root.AddCommand(WithFormerName(&cobra.Command{Use: "new", RunE: func(*cobra.Command, []string) error { ran = true; return nil }}, "old"))
		status := Run(t.Context(), "program", root, []string{called}, &out, &errs)
		if status != StatusOK || !ran || errs.String() != warned {
			t.Errorf("%s: got status %d, ran %v, errors %q; want status 0, ran true, errors %q", called, status, ran, errs.String(), warned)
		}
	}
}
