// Package keys names every key of the state service in one place. Their text is what earlier
// releases have stored and must stay as it is: "block" is a shard, "share" a quota allocation,
// "follow" a standby, "seat" a membership, "past" the archive, "part" a chunk of a description.
package keys

import (
	"fmt"
	"strconv"
	"strings"
)

// Root is the prefix of every key but those of archived jobs.
const Root = "shalestage/"

// Prefixes, and keys that exist once. A listing comes in the order of the keys: jobs, then the
// chunks of their descriptions, then their progress.
const (
	JobPrefix        = Root + "job/"
	ChunkPrefix      = Root + "part/"     // JOB/SUM/N, of a description that does not fit one value
	ProgressPrefix   = Root + "progress/" // JOB/RECORD
	MachinePrefix    = Root + "machine/"  // REQUEST, the group that was provisioned by it
	TypePrefix       = Root + "type/"
	MemberPrefix     = Root + "seat/"
	AssignmentPrefix = Root + "block/"
	AllocationPrefix = Root + "share/"
	StandbyPrefix    = Root + "follow/"
	ConfigPrefix     = Root + "config/"
	OverridePrefix   = Root + "zone/"
	Leader           = Root + "leader"
	Term             = Root + "term"
	// ArchiveMark tells up to which revision finished jobs are archived. Once it is there,
	// the leader's record and machine types are where releases without an archive do not look.
	ArchiveMark           = Root + "past"
	LeaderSinceArchive    = Root + "lead"
	TypePrefixWithArchive = Root + "kind/"
	// ArchivePrefix is where buckets of archived jobs are, outside Root: no controller keeps a
	// copy of them.
	ArchivePrefix = "shalestage-past/"
)

// Job is where a job's record is stored.
func Job(id string) string { return JobPrefix + id }

// Progress is where a record of a job's finished tasks is stored.
func Progress(id, record string) string { return ProgressPrefix + id + "/" + record }

// Assignment is where the owner of a shard is stored.
func Assignment(shard int) string { return AssignmentPrefix + strconv.Itoa(shard) }

// Allocation is where a shard's part of the quotas is stored.
func Allocation(shard int) string { return AllocationPrefix + strconv.Itoa(shard) }

// Standby is where it is stored who stands by for a shard's owner.
func Standby(shard int) string { return StandbyPrefix + strconv.Itoa(shard) }

// MaxShards bounds the numbers of shards, far above any number of controllers.
const MaxShards = 1024

// Shard returns the number of the shard that a key under a prefix is for.
func Shard(key, prefix string) (int, error) {
	shard, err := strconv.Atoi(key[len(prefix):])
	if err != nil {
		return 0, fmt.Errorf("number of a shard: %w", err)
	}
	if shard < 0 || shard >= MaxShards {
		return 0, fmt.Errorf("no such shard: %d", shard)
	}
	return shard, nil
}

const orphanPrefix = MachinePrefix + "x-"

// OrphanMachine is where a machine is stored that no request is known to have provisioned.
func OrphanMachine(name string) string { return orphanPrefix + name }

// IsOrphanMachine reports whether a key is one of OrphanMachine.
func IsOrphanMachine(key string) bool { return strings.HasPrefix(key, orphanPrefix) }
