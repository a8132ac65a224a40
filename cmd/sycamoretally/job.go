package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

func jobCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "job", Short: "Submit, follow and cancel batch jobs"}
	cmd.AddCommand(jobSubmitCommand(), jobStatusCommand(), jobResultsCommand(), jobCancelCommand())
	return cmd
}

func jobSubmitCommand() *cobra.Command {
	var path, window, key string
	var wait bool
	cmd := &cobra.Command{
		Use:   "submit -f FILE",
		Short: "Upload a file in JSON Lines and submit it as a job",
		Args:  cobra.NoArgs,
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, _ []string) error {
			j, err := submitFile(cmd, c, path, window, key)
			if err != nil {
				return err
			}
			if wait {
				return waitAndPrint(cmd, c, j)
			}
			return printJob(cmd, j)
		}),
	}
	addFileFlag(cmd, &path, "batch file in JSON Lines")
	cmd.Flags().StringVar(&window, "due", "24h", "time in which the job is due")
	cmd.Flags().StringVar(&key, "key", "", "key that names the job; the file's content by default")
	cmd.Flags().BoolVar(&wait, "wait", false, "show progress until the job has ended; exit code 6 where items failed or it was cancelled")
	return addOutputFlag(cmd, outputText, outputJSON)
}

func submitFile(cmd *cobra.Command, c *client.Client, path, window, key string) (entry.JobResponse, error) {
	lines, err := os.ReadFile(path)
	if err != nil {
		return entry.JobResponse{}, settings.ErrSettings.Wrap(err, "read job")
	}
	file, err := c.Upload(cmd.Context(), lines)
	if err != nil {
		return entry.JobResponse{}, err
	}
	return c.Submit(cmd.Context(), file, window, key)
}

// waitAndPrint follows a job to its end and prints how it ended. An interrupt
// stops the waiting, not the job.
func waitAndPrint(cmd *cobra.Command, c *client.Client, j entry.JobResponse) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ended, err := followJob(ctx, c.Job, j, newProgress(cmd.ErrOrStderr()), jobPollInterval)
	if err != nil {
		return err
	}
	if err := printJob(cmd, ended); err != nil {
		return err
	}
	return checkJobComplete(ended)
}

func printJob(cmd *cobra.Command, j entry.JobResponse) error {
	return printOutput(cmd, j, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s %s: %d of %d completed, %d failed\n", j.ID, j.Status, j.Counts.Completed, j.Counts.Total, j.Counts.Failed)
		return err
	})
}

func jobStatusCommand() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:   "status JOB",
		Short: "Print how far a job is",
		Args:  cobra.ExactArgs(1),
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, args []string) error {
			j, err := c.Job(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return printJob(cmd, j)
		}),
	}, outputText, outputJSON)
}

// outputJSONLines is the form of results with one JSON object a line.
const outputJSONLines = "jsonl"

func jobResultsCommand() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:   "results JOB",
		Short: "Print a job's results so far, in JSON Lines",
		Args:  cobra.ExactArgs(1),
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, args []string) error {
			if outputFormat(cmd) == outputJSON {
				return printResultArray(cmd, c, args[0])
			}
			return c.Results(cmd.Context(), args[0], cmd.OutOrStdout())
		}),
	}, outputJSONLines, outputJSON)
}

// printResultArray prints the results so far as one JSON array, once they are whole.
func printResultArray(cmd *cobra.Command, c *client.Client, job string) error {
	var lines bytes.Buffer
	if err := c.Results(cmd.Context(), job, &lines); err != nil {
		return err
	}
	results := []entry.ResultLine{}
	decoder := json.NewDecoder(&lines)
	for decoder.More() {
		var line entry.ResultLine
		if err := decoder.Decode(&line); err != nil {
			return protocol.ErrTruncated.Wrap(err, "decode results")
		}
		results = append(results, line)
	}
	return printJSON(cmd, results)
}

func jobCancelCommand() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:   "cancel JOB",
		Short: "Cancel a job; finished items stay readable",
		Args:  cobra.ExactArgs(1),
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, args []string) error {
			j, err := c.CancelJob(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return printJob(cmd, j)
		}),
	}, outputText, outputJSON)
}
