// Package keys defines every key of the state service. The texts of the keys must not change, because earlier
// releases have stored them: "block" is a shard, "share" a quota allocation, "follow" a standby, "seat" a
// membership, "past" the archive, "part" a chunk of a description.
package keys

import (
	"fmt"
	"strconv"
	"strings"
)

// Root is the prefix of every key except those of archived jobs.
const Root = "shalestage/"

// Prefixes, and keys that exist once. A listing is in the order of the keys: jobs
// come before the chunks of their descriptions, and those before their progress.
const (
	JobPrefix        = Root + "job/"
	ChunkPrefix      = Root + "part/"     // JOB/SUM/N: chunk N of a description that does not fit into one value
	ProgressPrefix   = Root + "progress/" // JOB/RECORD: finished tasks of a job
	MachinePrefix    = Root + "machine/"  // REQUEST: the group of machines that the request provisioned
	TypePrefix       = Root + "type/"
	MemberPrefix     = Root + "seat/"
	AssignmentPrefix = Root + "block/"
	AllocationPrefix = Root + "share/"
	StandbyPrefix    = Root + "follow/"
	ConfigPrefix     = Root + "config/"
	OverridePrefix   = Root + "zone/"
	Leader           = Root + "leader"
	Term             = Root + "term"
	// ArchiveMark holds the revision up to which finished jobs are archived.
	// Once it exists, the leader record and machine types are stored under
	// the keys below, where releases without an archive do not look for them.
	ArchiveMark           = Root + "past"
	LeaderSinceArchive    = Root + "lead"
	TypePrefixWithArchive = Root + "kind/"
	// ArchivePrefix is the prefix of buckets of archived jobs.
	// It is outside Root, because no controller caches them.
	ArchivePrefix = "shalestage-past/"
)

// Job returns the key of a job's record.
func Job(id string) string { return JobPrefix + id }

// Progress returns the key of a record of a job's finished tasks.
func Progress(id, record string) string { return ProgressPrefix + id + "/" + record }

// Assignment returns the key of a shard's assignment to its owner.
func Assignment(shard int) string { return AssignmentPrefix + strconv.Itoa(shard) }

// Allocation returns the key of a shard's part of the quotas.
func Allocation(shard int) string { return AllocationPrefix + strconv.Itoa(shard) }

// Standby returns the key of the record of a shard's standby.
func Standby(shard int) string { return StandbyPrefix + strconv.Itoa(shard) }

// MaxShards bounds the numbers of shards. It is far above any number of controllers.
const MaxShards = 1024

// Shard returns the shard number in a key with the given prefix.
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

// OrphanMachine returns the key of a machine for which no provisioning request is known.
func OrphanMachine(name string) string { return orphanPrefix + name }

// IsOrphanMachine reports whether a key was made by OrphanMachine.
func IsOrphanMachine(key string) bool { return strings.HasPrefix(key, orphanPrefix) }
