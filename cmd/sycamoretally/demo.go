package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
)

// demoTimeout bounds the demo.
const demoTimeout = 60 * time.Second

func demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run a whole site in this process and play callers and operators",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), demoTimeout)
			defer cancel()
			site, err := demo.Start(demo.DefaultLayout())
			if err != nil {
				site.Close()
				return err
			}
			defer site.Close()
			c := client.New(site.Client)
			defer c.Close()
			script := demo.Script{Client: c, Out: cmd.OutOrStdout(), BookingRuns: func() (map[string]int, error) {
				return site.Services[0].Runs(), nil
			}}
			return script.Run(ctx)
		},
	}
}
