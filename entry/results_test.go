package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

func TestResultRecordsMakeOneRecordForEachJob(t *testing.T) {
	var group []*pendingResult
	for i, job := range []string{"a", "b", "a", "a"} {
		group = append(group, &pendingResult{job: job, item: protocol.ItemResult{Index: i}})
	}
	records := resultRecords(group)
	assert.Equal(t, len(records), 2)
	assert.Assert(t, records[0].ID != records[1].ID)
	var indexes []int
	for _, item := range records[0].Items.Items {
		indexes = append(indexes, item.Index)
	}
	assert.Equal(t, records[0].Items.Job, "a")
	assert.DeepEqual(t, indexes, []int{0, 2, 3})
	assert.Equal(t, records[1].Items.Job, "b")
	assert.Equal(t, len(records[1].Items.Items), 1)
}
