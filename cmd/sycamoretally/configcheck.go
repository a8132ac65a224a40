package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/coordination/configcheck"
	"github.com/sycamoretally/sycamoretally/platform"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// checkResult is the output of config check.
type checkResult struct {
	Version  int64                 `json:"version"`
	Findings []configcheck.Finding `json:"findings"`
	// Changes are the differences from the configuration in force, nil if none is given.
	Changes []configcheck.Change `json:"changes,omitempty"`
}

func configCommand() *cobra.Command {
	config := &cobra.Command{Use: "config", Short: "Configurations on the users' platform"}
	config.AddCommand(configCheckCommand())
	return config
}

func configCheckCommand() *cobra.Command {
	var against string
	var targets map[string]int
	var jobTokens int64
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration before it is sent; exit code 1 if something in it cannot work",
		Long: "Check a configuration, in JSON as it is written to the store, before it is sent: entries that never match, " +
			"limits that contradict each other, and how it differs from the one in force.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			in := configcheck.Input{Targets: targets, JobTokens: jobTokens}
			var err error
			if in.Next, err = platform.LoadConfiguration(args[0]); err != nil {
				return err
			}
			if against != "" {
				if in.Current, err = platform.LoadConfiguration(against); err != nil {
					return err
				}
			}
			return checkConfiguration(cmd, in)
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "file of the configuration in force")
	cmd.Flags().StringToIntVar(&targets, "targets", nil, "number of targets by service, as SERVICE=NUMBER")
	cmd.Flags().Int64Var(&jobTokens, "job-tokens", 0, "tokens of the largest job to be expected")
	return addOutputFlag(cmd, outputText, outputJSON)
}

// checkConfiguration prints what the check finds. It fails with ErrMalformed if something
// cannot work.
func checkConfiguration(cmd *cobra.Command, in configcheck.Input) error {
	result := checkResult{Version: in.Next.Version, Findings: configcheck.Check(in)}
	if in.Current != nil {
		result.Changes = configcheck.Compare(in.Current, in.Next)
	}
	if err := printOutput(cmd, result, func(w io.Writer) error { return printCheck(w, result) }); err != nil {
		return err
	}
	if configcheck.HasError(result.Findings) {
		return fleet.ErrMalformed.New("configuration version %d has entries that cannot work", result.Version)
	}
	return nil
}

// printCheck prints one line for each finding and change.
func printCheck(w io.Writer, result checkResult) error {
	for _, f := range result.Findings {
		severity := "warning"
		if f.Error {
			severity = "error"
		}
		if _, err := fmt.Fprintf(w, "%s: %s: %s (%s)\n", severity, f.Where, f.Message, f.Kind); err != nil {
			return err
		}
	}
	for _, c := range result.Changes {
		if _, err := fmt.Fprintf(w, "change: %s\n", c); err != nil {
			return err
		}
	}
	return nil
}
