package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// objectFile is a file of configuration objects.
type objectFile struct {
	Objects []objectFileEntry `toml:"object"`
}

// objectFileEntry is an object whose base may be left out: then the current
// version is read and used.
type objectFileEntry struct {
	protocol.Object
	Base *protocol.Position `toml:"base"`
}

func readObjects(path string) ([]objectFileEntry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, settings.ErrSettings.Wrap(err, "read objects")
	}
	var file objectFile
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&file); err != nil {
		return nil, protocol.ErrBadRequest.New("%s: %v", path, err)
	}
	return file.Objects, nil
}

func kindNames() []string {
	return []string{
		string(protocol.KindDrain), string(protocol.KindLabel), string(protocol.KindPlacement),
		string(protocol.KindQuota), string(protocol.KindService),
	}
}

// completeKind completes the first argument to the kinds of object.
func completeKind(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return kindNames(), cobra.ShellCompDirectiveNoFileComp
}

func getCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:               "get [KIND [NAME]]",
		Short:             "Print the configuration objects in force with their versions",
		Args:              cobra.MaximumNArgs(2),
		ValidArgsFunction: completeKind,
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, args []string) error {
			args = append(args, "", "")
			objects, err := c.Objects(cmd.Context(), args[0], args[1])
			if err != nil {
				return err
			}
			return printOutput(cmd, objects, func(w io.Writer) error { return printObjects(w, objects) })
		}),
	}
	return addOutputFlag(cmd, outputText, outputJSON)
}

func printObjects(w io.Writer, objects []protocol.Object) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "KIND\tNAME\tVERSION\tSELECTOR")
	for _, o := range objects {
		selector, _ := o.TargetSelector()
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", o.Kind, o.Name, o.Version, selector)
	}
	return table.Flush()
}

// objectLines writes the content of an object, a value a line with the path of
// its keys; none for nil or a deleted one.
func objectLines(o *protocol.Object) []string {
	if o == nil || o.Deleted {
		return nil
	}
	content := *o
	content.Kind, content.Name, content.Base, content.Version = "", "", 0, 0
	data, err := json.Marshal(content)
	if err != nil {
		return []string{err.Error()}
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return []string{err.Error()}
	}
	delete(fields, "kind")
	delete(fields, "name")
	return flatten("", fields)
}

// flatten writes nested fields as lines "path = value" in order of the paths.
func flatten(prefix string, fields map[string]any) []string {
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		if inner, nested := fields[key].(map[string]any); nested {
			lines = append(lines, flatten(prefix+key+".", inner)...)
			continue
		}
		value, _ := json.Marshal(fields[key])
		lines = append(lines, prefix+key+" = "+string(value))
	}
	return lines
}

// diffLines marks the lines that only live has with "-" and those that only
// next has with "+".
func diffLines(live, next *protocol.Object) []string {
	before, after := objectLines(live), objectLines(next)
	var lines []string
	for _, line := range before {
		mark := "-"
		if slices.Contains(after, line) {
			mark = " "
		}
		lines = append(lines, mark+" "+line)
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			lines = append(lines, "+ "+line)
		}
	}
	return lines
}

func printLines(w io.Writer, lines []string) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}
