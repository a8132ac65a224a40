package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/settings"
)

func jobCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "job", Short: "Submit, follow and cancel batch jobs"}
	cmd.AddCommand(jobSubmitCommand(), jobStatusCommand(), jobResultsCommand(), jobCancelCommand())
	return cmd
}

func jobSubmitCommand() *cobra.Command {
	var path, window, key string
	cmd := &cobra.Command{
		Use:   "submit -f FILE",
		Short: "Upload a file in JSON Lines and submit it as a job",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := clientFor(cmd)
			if err != nil {
				return err
			}
			lines, err := os.ReadFile(path)
			if err != nil {
				return settings.ErrSettings.Wrap(err, "read job")
			}
			file, err := c.Upload(cmd.Context(), lines)
			if err != nil {
				return err
			}
			j, err := c.Submit(cmd.Context(), file, window, key)
			if err != nil {
				return err
			}
			printJob(cmd, j)
			return nil
		},
	}
	cmd.Flags().StringVarP(&path, "file", "f", "", "batch file in JSON Lines")
	cmd.Flags().StringVar(&window, "due", "24h", "time in which the job is due")
	cmd.Flags().StringVar(&key, "key", "", "key that names the job; the file's content by default")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func printJob(cmd *cobra.Command, j entry.JobAnswer) {
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s %s: %d of %d completed, %d failed\n", j.ID, j.Status, j.Counts.Completed, j.Counts.Total, j.Counts.Failed)
}

func jobStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status JOB",
		Short: "Print how far a job is",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := clientFor(cmd)
			if err != nil {
				return err
			}
			j, err := c.Job(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			printJob(cmd, j)
			return nil
		},
	}
}

func jobResultsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "results JOB",
		Short: "Print a job's results so far, in JSON Lines",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := clientFor(cmd)
			if err != nil {
				return err
			}
			return c.Results(cmd.Context(), args[0], cmd.OutOrStdout())
		},
	}
}

func jobCancelCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel JOB",
		Short: "Cancel a job; finished items stay readable",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := clientFor(cmd)
			if err != nil {
				return err
			}
			j, err := c.CancelJob(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			printJob(cmd, j)
			return nil
		},
	}
}
