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

// The forms of output.
const (
	outputText   = "text"
	outputJSON   = "json"
	outputChrome = "chrome"
)

const outputFlag = "output"

// addOutputFlag adds the flag that chooses among forms; the first is the default.
func addOutputFlag(cmd *cobra.Command, forms ...string) *cobra.Command {
	usage := "form of the output: " + forms[0]
	for _, form := range forms[1:] {
		usage += " or " + form
	}
	cmd.Flags().StringP(outputFlag, "o", forms[0], usage)
	complete := func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return forms, cobra.ShellCompDirectiveNoFileComp
	}
	_ = cmd.RegisterFlagCompletionFunc(outputFlag, complete)
	inner := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		form := outputFormat(cmd)
		for _, known := range forms {
			if form == known {
				return inner(cmd, args)
			}
		}
		return settings.ErrSettings.New("--output %q is unknown", form)
	}
	return cmd
}

func outputFormat(cmd *cobra.Command) string {
	form, _ := cmd.Flags().GetString(outputFlag)
	return form
}

// printOutput prints v as JSON where the command line asks for it, and by text otherwise.
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

// withClient runs a command with a client of the entries in its settings.
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
