package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// The output formats.
const (
	outputText   = "text"
	outputJSON   = "json"
	outputChrome = "chrome"
)

const outputFlag = "output"

// addOutputFlag adds the flag that selects one of formats; the first is the default.
func addOutputFlag(cmd *cobra.Command, formats ...string) *cobra.Command {
	usage := "output format: " + formats[0]
	for _, format := range formats[1:] {
		usage += " or " + format
	}
	cmd.Flags().StringP(outputFlag, "o", formats[0], usage)
	complete := func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return formats, cobra.ShellCompDirectiveNoFileComp
	}
	_ = cmd.RegisterFlagCompletionFunc(outputFlag, complete)
	inner := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		format := outputFormat(cmd)
		for _, known := range formats {
			if format == known {
				return inner(cmd, args)
			}
		}
		return settings.ErrSettings.New("--output %q is unknown", format)
	}
	return cmd
}

func outputFormat(cmd *cobra.Command) string {
	format, _ := cmd.Flags().GetString(outputFlag)
	return format
}

// printOutput prints v as JSON if the output format is JSON, and calls text otherwise.
func printOutput(cmd *cobra.Command, v any, text func(w io.Writer) error) error {
	if outputFormat(cmd) == outputJSON {
		return printJSON(cmd, v)
	}
	return text(cmd.OutOrStdout())
}

func printJSON(cmd *cobra.Command, v any) error {
	out := json.NewEncoder(cmd.OutOrStdout())
	out.SetIndent("", "  ")
	if err := out.Encode(v); err != nil {
		return protocol.ErrInternal.Wrap(err, "print")
	}
	return nil
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// withClient returns a command function that calls run with a client of the entries
// named in the settings.
func withClient(run func(cmd *cobra.Command, c *client.Client, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		s, err := loadSettings(cmd, settings.RoleClient)
		if err != nil {
			return err
		}
		c := client.New(s.Client)
		defer c.Close()
		return run(cmd, c, args)
	}
}
