package main

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

func TestCompletion(t *testing.T) {
	tests := map[string]struct {
		args []string
		want []string
	}{
		"commands": {[]string{"dr"}, []string{"drain"}},
		"kinds":    {[]string{"history", ""}, []string{"drain", "quota", "service"}},
		"outputs":  {[]string{"timeline", "-o", ""}, []string{"text", "json", "chrome"}},
		"flags":    {[]string{"apply", "--dr"}, []string{"--dry-run"}},
		"jobs":     {[]string{"job", ""}, []string{"submit", "status", "results", "cancel"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			out, err := runCommand(append([]string{"__complete"}, test.args...)...)
			assert.NilError(t, err)
			for _, want := range test.want {
				assert.Assert(t, is.Contains("\n"+out, "\n"+want))
			}
		})
	}
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		out, err := runCommand("completion", shell)
		assert.NilError(t, err)
		assert.Assert(t, is.Contains(out, "sycamoretally"))
	}
}

// TestSettingsShow checks that settings show masks secrets and includes defaults.
func TestSettingsShow(t *testing.T) {
	for _, form := range []string{outputText, outputJSON} {
		out, err := runCommand("settings", "show", filepath.Join(exampleDir, "nairobi", "entry-1.toml"), "-o", form)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(out, "replace-this"), out)
		assert.Equal(t, strings.Count(out, "(masked)"), 3)
		assert.Assert(t, is.Contains(strings.ToLower(out), "max"))
	}
	out, err := runCommand("settings", "show", filepath.Join(exampleDir, "nairobi", "entry-1.toml"))
	assert.NilError(t, err)
	assert.Assert(t, is.Contains(out, "drain_timeout = '30s'"))
}
