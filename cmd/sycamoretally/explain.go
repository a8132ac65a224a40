package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/protocol"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show every log line that names a request, job, item or target, in order of time",
		Long:  "Reads the logs of any number of processes, standard input without files. Lines of another form are left out.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []logs.Line
			for _, path := range args[1:] {
				found, err := readMatchingLines(path, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			if len(args) == 1 {
				found, err := logs.FindLines(cmd.InOrStdin(), args[0])
				if err != nil {
					return err
				}
				lines = found
			}
			if len(lines) == 0 {
				return protocol.ErrNotFound.New("no line names %q", args[0])
			}
			logs.SortByTime(lines)
			for _, line := range lines {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), line.Text); err != nil {
					return protocol.ErrInternal.Wrap(err, "print")
				}
			}
			return nil
		},
	}
}

func readMatchingLines(path, id string) ([]logs.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, protocol.ErrNotFound.Wrap(err, "log file")
	}
	defer func() { _ = f.Close() }()
	return logs.FindLines(f, id)
}
