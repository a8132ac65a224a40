package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// defaultWatchInterval is the time between two states that status --watch prints.
const defaultWatchInterval = 2 * time.Second

// clearScreen moves a terminal's cursor home and erases what it shows.
const clearScreen = "\x1b[H\x1b[2J"

func statusCommand() *cobra.Command {
	var selectorText string
	var watch bool
	var interval time.Duration
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print the targets and their state as an entry sees them",
		Args:  cobra.NoArgs,
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, _ []string) error {
			selector, err := protocol.ParseSelector(selectorText)
			if err != nil {
				return err
			}
			if watch {
				return watchStatus(cmd, c, selector, interval)
			}
			s, err := c.StatusOf(cmd.Context(), selector)
			if err != nil {
				return err
			}
			return printOutput(cmd, s, func(w io.Writer) error { return printStatus(w, s) })
		}),
	}
	addSelectorFlag(cmd, &selectorText)
	cmd.Flags().BoolVar(&watch, "watch", false, "print the state again and again until interrupted")
	cmd.Flags().DurationVar(&interval, "interval", defaultWatchInterval, "time between two states of --watch")
	return addOutputFlag(cmd, outputText, outputJSON)
}

// watchStatus prints the state at every interval until it is interrupted. A
// state that can't be read is reported and does not end it; a refused key does.
func watchStatus(cmd *cobra.Command, c *client.Client, selector protocol.Selector, interval time.Duration) error {
	if interval <= 0 {
		return settings.ErrSettings.New("--interval must be above zero")
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		s, err := c.StatusOf(ctx, selector)
		switch {
		case ctx.Err() != nil:
			return nil
		case errorx.IsOfType(err, protocol.ErrUnauthorized):
			return err
		case err != nil:
			_, _ = fmt.Fprintln(cmd.ErrOrStderr(), "error:", err)
		default:
			if err := printWatchedStatus(cmd, s); err != nil {
				return err
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// printWatchedStatus prints one of many states: as one line of JSON, or as a table that
// takes the place of the last one on a terminal.
func printWatchedStatus(cmd *cobra.Command, s entry.Status) error {
	w := cmd.OutOrStdout()
	if outputFormat(cmd) == outputJSON {
		if err := json.NewEncoder(w).Encode(s); err != nil {
			return protocol.ErrInternal.Wrap(err, "print")
		}
		return nil
	}
	if isTerminal(w) {
		_, _ = io.WriteString(w, clearScreen)
	}
	return printStatus(w, s)
}

func printStatus(w io.Writer, s entry.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "entry %s, configuration %s, %d running jobs\n", s.Instance, s.Config, s.Jobs)
	_, _ = fmt.Fprintln(table, "TARGET\tDATA CENTRE\tSTATE\tSLOTS\tONLINE\tBATCH\tQUEUED\tLABELS")
	for _, t := range s.Targets {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", t.Name, t.DataCentre, t.State, t.Slots, t.Online, t.Batch, t.Queued, protocol.Selector(t.Labels))
	}
	return table.Flush()
}
