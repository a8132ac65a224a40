package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/timeline"
)

func timelineCommand() *cobra.Command {
	var trace string
	var since time.Duration
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Print the merged events of all processes, causes before effects",
		Args:  cobra.NoArgs,
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, _ []string) error {
			args := protocol.EventsArgs{Trace: trace}
			if since > 0 {
				args.SinceUnixMillis = time.Now().Add(-since).UnixMilli()
			}
			t, err := c.Timeline(cmd.Context(), args)
			if err != nil {
				return err
			}
			if outputFormat(cmd) == outputChrome {
				return timeline.WriteChrome(cmd.OutOrStdout(), t.Events, t.Missing)
			}
			return printOutput(cmd, t, func(w io.Writer) error { return printTimeline(w, t) })
		}),
	}
	cmd.Flags().StringVar(&trace, "trace", "", "only events of this trace")
	cmd.Flags().DurationVar(&since, "since", 0, "only events of this long ago or later")
	return addOutputFlag(cmd, outputText, outputJSON, outputChrome)
}

func printTimeline(w io.Writer, t entry.Timeline) error {
	for i := range t.Events {
		if _, err := fmt.Fprintln(w, eventText(&t.Events[i])); err != nil {
			return err
		}
	}
	for _, m := range t.Missing {
		if _, err := fmt.Fprintf(w, "missing: %s did not answer\n", m); err != nil {
			return err
		}
	}
	for _, c := range t.Cut {
		if _, err := fmt.Fprintf(w, "cut: %s has older events; narrow the question by --since or --trace\n", c); err != nil {
			return err
		}
	}
	return nil
}

// eventText writes an event as a line of key=value pairs.
func eventText(e *protocol.Event) string {
	var line strings.Builder
	at := time.UnixMilli(timeline.WallMillis(e.Clock)).UTC().Format("15:04:05.000")
	fmt.Fprintf(&line, "%s instance=%s trace=%s event=%q", at, e.Instance, e.Trace, e.Name)
	for _, key := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&line, " %s=%q", key, e.Fields[key])
	}
	return line.String()
}
