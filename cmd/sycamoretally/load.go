package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/load"
)

func loadCommand() *cobra.Command {
	var path, dir string
	var seeds int
	cmd := &cobra.Command{
		Use:   "load --scenario FILE --out DIR",
		Short: "Run a load scenario against one or more policies, side by side",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := load.LoadScenario(path)
			if err != nil {
				return err
			}
			result, err := runSeeds(cmd.Context(), s, seeds)
			if err != nil {
				return err
			}
			if dir != "" {
				if err := result.WriteFiles(dir); err != nil {
					return err
				}
			}
			return result.WriteTable(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&path, "scenario", "", "scenario file in TOML")
	cmd.Flags().StringVar(&dir, "out", "", "directory for the table, JSON and plots")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds to run, one after the other; figures are medians over them")
	_ = cmd.MarkFlagRequired("scenario")
	return cmd
}

func runSeeds(ctx context.Context, s *load.Scenario, seeds int) (*load.Result, error) {
	results := make([]*load.Result, 0, seeds)
	for range max(1, seeds) {
		runCtx, cancel := context.WithTimeout(ctx, s.Timeout())
		result, err := load.Run(runCtx, s)
		cancel()
		if err != nil {
			return nil, err
		}
		results = append(results, result)
		s.Seed++
	}
	return load.Median(results), nil
}
