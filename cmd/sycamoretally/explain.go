package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// maxLogLineBytes bounds a line of a log file.
const maxLogLineBytes = 1 << 20

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show every log line that names a request, job, item or target, in order of time",
		Long:  "Reads the logs of any number of processes, standard input without files. Lines of another form are left out.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []logs.Line
			for _, path := range args[1:] {
				found, err := linesOfFile(path, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			if len(args) == 1 {
				found, err := linesNaming(cmd.InOrStdin(), args[0])
				if err != nil {
					return err
				}
				lines = found
			}
			if len(lines) == 0 {
				return protocol.ErrNotFound.New("no line names %q", args[0])
			}
			slices.SortStableFunc(lines, func(a, b logs.Line) int { return cmp.Compare(a.Value("time"), b.Value("time")) })
			for _, line := range lines {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), line.Text); err != nil {
					return protocol.ErrInternal.Wrap(err, "print")
				}
			}
			return nil
		},
	}
}

func linesOfFile(path, id string) ([]logs.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, protocol.ErrNotFound.Wrap(err, "log file")
	}
	defer func() { _ = f.Close() }()
	return linesNaming(f, id)
}

// linesNaming returns the lines of which a value is the ID.
func linesNaming(in io.Reader, id string) ([]logs.Line, error) {
	var found []logs.Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		line, err := logs.Parse(scanner.Text())
		if err == nil && line.Names(id) {
			found = append(found, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, protocol.ErrBadRequest.Wrap(err, "read log")
	}
	return found, nil
}
