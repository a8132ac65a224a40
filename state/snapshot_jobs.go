package state

import (
	"slices"

	"github.com/sycamoretally/sycamoretally/protocol"
)

type jobsSnapshot struct {
	Files []fileSnapshot
	Jobs  []jobSnapshot
}

type fileSnapshot struct {
	File  File
	Sizes []int
}

type jobSnapshot struct {
	Job     Job
	Results []protocol.Position
}

// SnapshotName returns the name of the fold in snapshots.
func (f *Jobs) SnapshotName() string { return "jobs" }

// Snapshot encodes the fold's state.
func (f *Jobs) Snapshot() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var s jobsSnapshot
	for _, file := range f.files {
		s.Files = append(s.Files, fileSnapshot{File: *file, Sizes: file.sizes})
	}
	for _, j := range f.jobs {
		s.Jobs = append(s.Jobs, jobSnapshot{Job: *j, Results: j.results})
	}
	sortByKey(s.Files, func(f fileSnapshot) string { return f.File.ID })
	sortByKey(s.Jobs, func(j jobSnapshot) string { return j.Job.Job })
	return encodeState(&s)
}

// Restore replaces the fold's state with that of a snapshot.
func (f *Jobs) Restore(data []byte) error {
	var s jobsSnapshot
	if err := decodeState(data, &s); err != nil {
		return err
	}
	files := make(map[string]*File, len(s.Files))
	for i := range s.Files {
		file := s.Files[i].File
		file.sizes = s.Files[i].Sizes
		files[file.ID] = &file
	}
	jobs := make(map[string]*Job, len(s.Jobs))
	for i := range s.Jobs {
		j := s.Jobs[i].Job
		j.results = slices.Clip(s.Jobs[i].Results)
		jobs[j.Job] = &j
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files, f.jobs, f.running = files, jobs, nil
	return nil
}
