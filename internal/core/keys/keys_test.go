package keys

import "testing"

// TestStoredKeyText guards against a changed key: data that
// earlier releases have stored under it would be lost.
func TestStoredKeyText(t *testing.T) {
	for got, want := range map[string]string{
		Job("wk-1"):            "shalestage/job/wk-1",
		Progress("wk-1", "00"): "shalestage/progress/wk-1/00",
		ChunkPrefix:            "shalestage/part/",
		MachinePrefix:          "shalestage/machine/",
		OrphanMachine("n-1"):   "shalestage/machine/x-n-1",
		TypePrefix:             "shalestage/type/",
		MemberPrefix:           "shalestage/seat/",
		Assignment(7):          "shalestage/block/7",
		Allocation(7):          "shalestage/share/7",
		Standby(7):             "shalestage/follow/7",
		ConfigPrefix:           "shalestage/config/",
		OverridePrefix:         "shalestage/zone/",
		Leader:                 "shalestage/leader",
		Term:                   "shalestage/term",
		ArchiveMark:            "shalestage/past",
		LeaderSinceArchive:     "shalestage/lead",
		TypePrefixWithArchive:  "shalestage/kind/",
		ArchivePrefix:          "shalestage-past/",
	} {
		if got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

// TestShardNumberInKey guards against shard numbers out of
// range and against orphaned machines that are not recognized.
func TestShardNumberInKey(t *testing.T) {
	for key, want := range map[string]int{Assignment(0): 0, Assignment(MaxShards - 1): MaxShards - 1} {
		if n, err := Shard(key, AssignmentPrefix); err != nil || n != want {
			t.Errorf("%s: %d, %v", key, n, err)
		}
	}
	for _, key := range []string{Assignment(-1), Assignment(MaxShards), AssignmentPrefix, AssignmentPrefix + "x"} {
		if n, err := Shard(key, AssignmentPrefix); err == nil {
			t.Errorf("%s: %d", key, n)
		}
	}
	if !IsOrphanMachine(OrphanMachine("n-1")) || IsOrphanMachine(MachinePrefix+"r-1") {
		t.Error("IsOrphanMachine does not tell the key of an orphaned machine from that of a group")
	}
}
