package main

import (
	"fmt"
	"io"
	"maps"
	"strings"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// drainResult is what drain and undrain print.
type drainResult struct {
	Version protocol.Position `json:"version"`
	Objects []string          `json:"objects"`
	Targets []string          `json:"targets"`
}

func drainCommand() *cobra.Command {
	var selectorText string
	cmd := &cobra.Command{
		Use:   "drain --selector KEY=VALUE[,KEY=VALUE]",
		Short: "Take every target that the selector matches out of service",
		Args:  cobra.NoArgs,
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, _ []string) error {
			selector, err := parseRequiredSelector(selectorText)
			if err != nil {
				return err
			}
			drain := protocol.Object{Kind: protocol.KindDrain, Name: selector.String(), Drain: &protocol.Drain{Selector: selector}}
			return applyDrains(cmd, c, []protocol.Object{drain}, "drained")
		}),
	}
	addSelectorFlag(cmd, &selectorText)
	return addOutputFlag(cmd, outputText, outputJSON)
}

func undrainCommand() *cobra.Command {
	var selectorText string
	cmd := &cobra.Command{
		Use:   "undrain --selector KEY=VALUE[,KEY=VALUE]",
		Short: "Delete the drains with exactly this selector",
		Args:  cobra.NoArgs,
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, _ []string) error {
			selector, err := parseRequiredSelector(selectorText)
			if err != nil {
				return err
			}
			drains, err := findDrains(cmd, c, selector)
			if err != nil {
				return err
			}
			return applyDrains(cmd, c, drains, "no longer drained by this selector")
		}),
	}
	addSelectorFlag(cmd, &selectorText)
	return addOutputFlag(cmd, outputText, outputJSON)
}

func addSelectorFlag(cmd *cobra.Command, text *string) {
	cmd.Flags().StringVar(text, "selector", "", "labels of the targets, as key=value[,key=value]")
}

// parseRequiredSelector refuses an empty selector, which would match every target.
func parseRequiredSelector(text string) (protocol.Selector, error) {
	if text == "" {
		return nil, settings.ErrSettings.New("--selector is missing")
	}
	return protocol.ParseSelector(text)
}

// findDrains returns deletions of the drains in force that have the selector.
func findDrains(cmd *cobra.Command, c *client.Client, selector protocol.Selector) ([]protocol.Object, error) {
	live, err := c.Objects(cmd.Context(), string(protocol.KindDrain), "")
	if err != nil {
		return nil, err
	}
	var drains []protocol.Object
	for _, o := range live {
		if o.Drain != nil && maps.Equal(o.Drain.Selector, selector) {
			drains = append(drains, protocol.Object{Kind: protocol.KindDrain, Name: o.Name, Deleted: true})
		}
	}
	if len(drains) == 0 {
		return nil, protocol.ErrNotFound.New("no drain has the selector %s", selector)
	}
	return drains, nil
}

func applyDrains(cmd *cobra.Command, c *client.Client, drains []protocol.Object, done string) error {
	plan, err := planWithBases(cmd, c, drains)
	if err != nil {
		return err
	}
	applied, err := c.Apply(cmd.Context(), operatorName(), plannedObjects(plan))
	if err != nil {
		return err
	}
	answer := newDrainResult(plan, applied)
	return printOutput(cmd, answer, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "accepted at version %s; %d targets %s: %s\n", answer.Version, len(answer.Targets), done, strings.Join(answer.Targets, " "))
		return err
	})
}

func newDrainResult(plan []entry.PlannedObject, applied entry.ApplyResponse) drainResult {
	answer := drainResult{Version: applied.Version, Targets: []string{}}
	seen := map[string]bool{}
	for _, p := range plan {
		answer.Objects = append(answer.Objects, p.Object.Name)
		for _, target := range p.Targets {
			if !seen[target] {
				answer.Targets = append(answer.Targets, target)
			}
			seen[target] = true
		}
	}
	return answer
}
