package main

import (
	"fmt"
	"io"
	"os/user"
	"strings"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

func applyCommand() *cobra.Command {
	var path string
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Publish configuration objects, all or none",
		Long: "Publish the objects of a file in one change: all take effect or none. " +
			"An object without a base is set over the version in force; one with a base is refused " +
			"(exit code 4) where another change came between.",
		Args: cobra.NoArgs,
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, _ []string) error {
			plan, err := planFile(cmd, c, path)
			if err != nil {
				return err
			}
			if dryRun {
				return printOutput(cmd, plan, func(w io.Writer) error { return printPlan(w, plan) })
			}
			return publish(cmd, c, plannedObjects(plan))
		}),
	}
	addFileFlag(cmd, &path, "file of objects in TOML")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "print what would change and which targets are selected, and publish nothing")
	return addOutputFlag(cmd, outputText, outputJSON)
}

// addFileFlag adds the required flag that names a file.
func addFileFlag(cmd *cobra.Command, path *string, usage string) {
	cmd.Flags().StringVarP(path, "file", "f", "", usage)
	_ = cmd.MarkFlagRequired("file")
	_ = cmd.MarkFlagFilename("file")
}

func diffCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "diff -f FILE",
		Short: "Compare a file of objects with those in force; exit code 5 where they differ",
		Args:  cobra.NoArgs,
		RunE: withClient(func(cmd *cobra.Command, c *client.Client, _ []string) error {
			plan, err := planFile(cmd, c, path)
			if err != nil {
				return err
			}
			changed := changedObjects(plan)
			if err := printOutput(cmd, changed, func(w io.Writer) error { return printDiff(w, changed) }); err != nil {
				return err
			}
			if len(changed) > 0 {
				return errDiffers.New("%d objects differ", len(changed))
			}
			return nil
		}),
	}
	addFileFlag(cmd, &path, "file of objects in TOML")
	return addOutputFlag(cmd, outputText, outputJSON)
}

// planFile asks an entry what the objects of a file would change. Objects
// without a base of their own get the version in force.
func planFile(cmd *cobra.Command, c *client.Client, path string) ([]entry.PlannedObject, error) {
	read, err := readObjects(path)
	if err != nil {
		return nil, err
	}
	objects := make([]protocol.Object, 0, len(read))
	for _, r := range read {
		objects = append(objects, r.Object)
	}
	plan, err := planWithBases(cmd, c, objects)
	if err != nil {
		return nil, err
	}
	for i := range plan {
		if read[i].Base != nil {
			plan[i].Object.Base = *read[i].Base
		}
	}
	return plan, nil
}

// planWithBases plans a change that is made from the versions in force.
func planWithBases(cmd *cobra.Command, c *client.Client, objects []protocol.Object) ([]entry.PlannedObject, error) {
	plan, err := c.Plan(cmd.Context(), objects)
	if err != nil {
		return nil, err
	}
	if len(plan) != len(objects) {
		return nil, protocol.ErrInternal.New("a plan of %d objects for %d", len(plan), len(objects))
	}
	for i := range plan {
		plan[i].Object.Base = plan[i].Current
	}
	return plan, nil
}

func plannedObjects(plan []entry.PlannedObject) []protocol.Object {
	objects := make([]protocol.Object, 0, len(plan))
	for _, p := range plan {
		objects = append(objects, p.Object)
	}
	return objects
}

func changedObjects(plan []entry.PlannedObject) []entry.PlannedObject {
	changed := []entry.PlannedObject{}
	for _, p := range plan {
		if p.Action != state.ActionNone {
			changed = append(changed, p)
		}
	}
	return changed
}

func publish(cmd *cobra.Command, c *client.Client, objects []protocol.Object) error {
	answer, err := c.Apply(cmd.Context(), operatorName(), objects)
	if err != nil {
		return err
	}
	return printOutput(cmd, answer, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "accepted at version %s\n", answer.Version)
		return err
	})
}

func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func printPlan(w io.Writer, plan []entry.PlannedObject) error {
	for _, p := range plan {
		_, err := fmt.Fprintf(w, "%s %s %s (version %s)%s\n", p.Action, p.Object.Kind, p.Object.Name, p.Current, targetsText(&p))
		if err != nil {
			return err
		}
	}
	return nil
}

// targetsText lists the targets of an object that selects any kind of target.
func targetsText(p *entry.PlannedObject) string {
	selecting := &p.Object
	if p.Object.Deleted && p.Live != nil {
		selecting = p.Live
	}
	if _, selects := selecting.TargetSelector(); !selects {
		return ""
	}
	return fmt.Sprintf(": %d targets: %s", len(p.Targets), strings.Join(p.Targets, " "))
}

// printDiff prints the lines of each object in force, marked "-", and those of
// the file, marked "+".
func printDiff(w io.Writer, changed []entry.PlannedObject) error {
	for _, p := range changed {
		if _, err := fmt.Fprintf(w, "%s %s %s\n", p.Action, p.Object.Kind, p.Object.Name); err != nil {
			return err
		}
		if err := printLines(w, diffLines(p.Live, &p.Object)); err != nil {
			return err
		}
	}
	return nil
}
