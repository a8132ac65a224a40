package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

func historyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:               "history KIND NAME",
		Short:             "Print the versions of an object that are kept, with operator and time",
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeKind,
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, args []string) error {
			versions, err := c.History(cmd.Context(), args[0], args[1])
			if err != nil {
				return err
			}
			return printOutput(cmd, versions, func(w io.Writer) error { return printVersions(w, versions) })
		}),
	}
	return addOutputFlag(cmd, outputText, outputJSON)
}

func printVersions(w io.Writer, versions []protocol.ObjectVersion) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "VERSION\tTIME\tOPERATOR\tCONTENT")
	for _, v := range versions {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", v.Object.Version, timeText(v.UnixMillis), v.By, contentSummary(&v.Object))
	}
	return table.Flush()
}

func timeText(unixMillis int64) string {
	if unixMillis == 0 {
		return "unknown"
	}
	return time.UnixMilli(unixMillis).UTC().Format(time.RFC3339)
}

func contentSummary(o *protocol.Object) string {
	if o.Deleted {
		return "deleted"
	}
	lines := objectLines(o)
	return strings.Join(lines, "; ")
}

func rollbackCommand() *cobra.Command {
	var to string
	cmd := &cobra.Command{
		Use:               "rollback KIND NAME --to VERSION",
		Short:             "Publish the content of an earlier version as a new version",
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeKind,
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, args []string) error {
			version, err := parseVersion(to)
			if err != nil {
				return err
			}
			old, err := findVersion(cmd, c, args[0], args[1], version)
			if err != nil {
				return err
			}
			plan, err := planWithBases(cmd, c, []protocol.Object{old})
			if err != nil {
				return err
			}
			return publish(cmd, c, plannedObjects(plan))
		}),
	}
	cmd.Flags().StringVar(&to, "to", "", "version whose content is published, as history prints it")
	_ = cmd.MarkFlagRequired("to")
	return addOutputFlag(cmd, outputText, outputJSON)
}

// findVersion returns the content of a version that is kept.
func findVersion(cmd *cobra.Command, c *client.Client, kind, name string, version protocol.Position) (protocol.Object, error) {
	versions, err := c.History(cmd.Context(), kind, name)
	if err != nil {
		return protocol.Object{}, err
	}
	for _, v := range versions {
		if v.Object.Version == version {
			old := v.Object
			old.Version = 0
			return old, nil
		}
	}
	return protocol.Object{}, protocol.ErrNotFound.New("version %s of %s %q is not kept", version, kind, name)
}

// parseVersion reads a version as it is printed, such as 12.0.
func parseVersion(text string) (protocol.Position, error) {
	offsetText, indexText, found := strings.Cut(text, ".")
	offset, err := strconv.ParseUint(offsetText, 10, 64)
	index, indexErr := strconv.ParseUint(indexText, 10, 16)
	if !found || err != nil || indexErr != nil || index >= protocol.MaxBatchRecords {
		return 0, settings.ErrSettings.New("version %q is not of the form OFFSET.INDEX", text)
	}
	return protocol.PositionAt(offset, int(index)), nil
}
