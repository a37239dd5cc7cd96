package replication

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// pendingAnswer is an answer that is deferred until the standby has acknowledged what it starts.
type pendingAnswer struct {
	answer        any
	messageNumber uint64 // number of the message that must be acknowledged; 0: it is not sent yet
	deferredAt    units.Microseconds
}

// Primary is the owner's side of the replication of a shard. Use NewPrimary.
type Primary struct {
	shard        int
	fencingToken uint64
	host         Host
	now          units.Microseconds

	standby         string // the standby, stored or not; "" for none
	process         uint64 // process of the standby that acknowledges the stream; 0: not known
	run             uint64
	sent            uint64 // number of the last message
	acked           uint64
	snapshotEnd     uint64 // number of the message that completes the snapshot; 0: it is not sent yet
	barrier         uint64 // number of the message with the last start that was not deferred; 0: it is not sent yet
	unacked         []Message
	unsentMachines  []string         // machines of the snapshot that are still to be sent
	changedMachines map[string]bool  // machines whose new state is still to be sent
	finishedTasks   map[string][]int // finished tasks by job that are still to be sent
	pending         []pendingAnswer
	deferring       bool               // answers are deferred: the standby is stored, may be, or soon will be
	recorded        bool               // a write of the standby's record was started; it may have failed
	recording       bool               // a write of a record is in progress
	removing        bool               // the standby is being removed; that is not stored yet
	progressAt      units.Microseconds // when the standby last acknowledged a message, or had none to acknowledge
	sentAt          units.Microseconds
	flushedAt       units.Microseconds
	backoffUntil    units.Microseconds // no new standby is selected before
}

// NewPrimary returns the Primary of a new owner, which has no standby yet.
func NewPrimary(shard int, fencingToken uint64, host Host) *Primary {
	return &Primary{shard: shard, fencingToken: fencingToken, host: host, changedMachines: map[string]bool{}, finishedTasks: map[string][]int{}}
}

// Standby returns the standby that is known to be stored, or "".
func (p *Primary) Standby() string {
	if p.recorded && !p.recording && !p.removing {
		return p.standby
	}
	return ""
}

// DeferAnswer handles an answer that starts something on a machine. It returns
// true if the answer is deferred, or refused because too many are: Host.Answer is then
// called for it. If it returns false, the caller may send the answer at once.
func (p *Primary) DeferAnswer(now units.Microseconds, machine string, answer any) bool {
	p.now = now
	if p.standby != "" && !p.removing {
		p.changedMachines[machine] = true
	}
	if !p.deferring {
		return false
	}
	if len(p.pending) >= maxDeferredAnswers {
		p.host.Answer(answer, false)
		return true
	}
	p.pending = append(p.pending, pendingAnswer{answer: answer, deferredAt: now})
	return true
}

// TaskFinished records that a task has completed and is not stored as done yet.
func (p *Primary) TaskFinished(job string, task int) {
	if p.standby != "" && !p.removing {
		p.finishedTasks[job] = append(p.finishedTasks[job], task)
	}
}

// Tick runs all periodic work and is called often. reconciled reports whether
// everything that earlier owners started is known; without that no standby is selected.
func (p *Primary) Tick(now units.Microseconds, reconciled bool) {
	p.now = now
	switch {
	case p.removing:
		p.storeRecord(p.noStandbyRecord())
	case p.standby == "":
		if reconciled && now >= p.backoffUntil {
			p.selectStandby()
		}
	case !p.host.Eligible(p.standby) || len(p.unacked) > 0 && now-p.progressAt > ackTimeout:
		p.beginRemoval()
	default:
		p.flush()
		p.resend()
	}
	p.expireAnswers()
}

// selectStandby selects a standby, if there is a candidate, and starts a new stream to it.
func (p *Primary) selectStandby() {
	standby := p.host.Candidate()
	if standby == "" {
		return
	}
	p.standby, p.process, p.sent, p.acked, p.snapshotEnd, p.barrier, p.unacked = standby, 0, 0, 0, 0, 0, nil
	p.run++
	p.progressAt, p.flushedAt = p.now, 0
	p.unsentMachines = p.host.Machines()
	clear(p.changedMachines)
	clear(p.finishedTasks)
	for _, tasks := range p.host.UnstoredTasks() {
		p.finishedTasks[tasks.Job] = slices.Clone(tasks.Tasks)
	}
	p.flush()
}

// hasChanges reports whether there are changes that are still to be sent.
func (p *Primary) hasChanges() bool { return len(p.changedMachines)+len(p.finishedTasks) > 0 }

// flush sends everything that is still to be sent, up to maxUnacked unacknowledged messages.
func (p *Primary) flush() {
	if p.snapshotEnd != 0 && (!p.hasChanges() || p.now-p.flushedAt < FlushInterval) {
		return
	}
	for len(p.unacked) < maxUnacked && (p.snapshotEnd == 0 || p.hasChanges()) {
		p.flushedAt = p.now
		message := p.nextMessage()
		if len(p.unacked) == 0 {
			p.progressAt, p.sentAt = p.now, p.now
		}
		p.unacked = append(p.unacked, message)
		p.host.Send(p.standby, message)
	}
	p.setBarrier()
}

// nextMessage fills the next message. Changed machines go before
// the rest of the snapshot, because deferred answers wait for them.
func (p *Primary) nextMessage() Message {
	p.sent++
	message := Message{Block: p.shard, Token: p.fencingToken, Run: p.run, N: p.sent}
	size := p.addChangedMachines(&message)
	if len(p.changedMachines) == 0 {
		for i := range p.pending {
			if p.pending[i].messageNumber == 0 {
				p.pending[i].messageNumber = p.sent
			}
		}
	}
	for len(p.unsentMachines) > 0 && size < MessageSize {
		size += p.addMachine(&message, p.unsentMachines[0])
		p.unsentMachines = p.unsentMachines[1:]
	}
	p.addFinishedTasks(&message, size)
	if p.snapshotEnd == 0 && len(p.unsentMachines) == 0 && !p.hasChanges() {
		p.snapshotEnd, message.Whole = p.sent, true
	}
	return message
}

// addChangedMachines adds changed machines to a message and returns its size.
func (p *Primary) addChangedMachines(message *Message) (size int) {
	for _, name := range slices.Sorted(maps.Keys(p.changedMachines)) {
		if size >= MessageSize {
			break
		}
		delete(p.changedMachines, name)
		size += p.addMachine(message, name)
	}
	return size
}

// addFinishedTasks adds finished tasks to a message that has the given size.
func (p *Primary) addFinishedTasks(message *Message, size int) {
	for _, job := range slices.Sorted(maps.Keys(p.finishedTasks)) {
		if size >= MessageSize {
			break
		}
		tasks := p.finishedTasks[job]
		count := min(len(tasks), MessageSize-size)
		message.Done = append(message.Done, FinishedTasks{job, tasks[:count:count]})
		size += count
		if p.finishedTasks[job] = tasks[count:]; count == len(tasks) {
			delete(p.finishedTasks, job)
		}
	}
}

func (p *Primary) addMachine(message *Message, name string) (size int) {
	machine := p.host.SnapshotMachine(name)
	message.Machines = append(message.Machines, machine)
	return len(machine.Tasks) + machineOverhead
}

// resend sends the first unacknowledged messages again after each resendInterval, except for the first message
// of the stream. A standby accepts a stream from that message on, so only one process of it ever can: the one
// whose acknowledgements count. If the first message is lost, the standby is replaced after ackTimeout.
func (p *Primary) resend() {
	if len(p.unacked) == 0 || p.now-p.sentAt <= resendInterval {
		return
	}
	p.sentAt = p.now
	for _, message := range p.unacked[:min(len(p.unacked), maxUnacked/4)] {
		if message.N != firstMessage {
			p.host.Send(p.standby, message)
		}
	}
}

// setBarrier records the message after which the standby knows
// every start that was sent before answers were deferred.
func (p *Primary) setBarrier() {
	if p.deferring && p.barrier == 0 && len(p.changedMachines) == 0 {
		p.barrier = p.sent
	}
}

// OnAck handles an acknowledgement by a standby.
func (p *Primary) OnAck(now units.Microseconds, from string, ack Ack) {
	p.now = now
	if from != p.standby || ack.Token != p.fencingToken || ack.Run != p.run || ack.N <= p.acked || ack.N > p.sent {
		return
	}
	if p.acked > 0 && ack.Process != p.process {
		return // its process has been replaced, and the next one does not know the stream
	}
	p.acked, p.process, p.progressAt = ack.N, ack.Process, now
	for len(p.unacked) > 0 && p.unacked[0].N <= ack.N {
		p.unacked = p.unacked[1:]
	}
	p.releaseAnswers(func(pending pendingAnswer) bool { return pending.messageNumber != 0 && pending.messageNumber <= ack.N })
	if p.snapshotEnd != 0 && ack.N >= p.snapshotEnd && !p.deferring && !p.removing {
		p.deferring = true
		p.setBarrier()
	}
	if p.barrier != 0 && ack.N >= p.barrier && !p.recorded && !p.removing {
		p.recorded = true
		p.storeRecord(Record{Node: p.standby, Token: p.fencingToken, Run: p.run, Process: p.process})
	}
}

// releaseAnswers removes the selected answers from the queue.
// Those within answerTimeout are sent, the others refused.
func (p *Primary) releaseAnswers(which func(pendingAnswer) bool) {
	var kept []pendingAnswer
	for _, pending := range p.pending {
		if which(pending) {
			p.host.Answer(pending.answer, p.now-pending.deferredAt < answerTimeout)
		} else {
			kept = append(kept, pending)
		}
	}
	p.pending = kept
}

// expireAnswers refuses answers whose worker no longer waits for them. What such an
// answer starts was never carried out, and the machine's next heartbeat does not show it.
func (p *Primary) expireAnswers() {
	if len(p.pending) > 0 && p.now-p.pending[0].deferredAt >= answerTimeout {
		p.releaseAnswers(func(pending pendingAnswer) bool { return p.now-pending.deferredAt >= answerTimeout })
	}
}

// RemoveStandby removes the standby. Tick selects another one later.
func (p *Primary) RemoveStandby(now units.Microseconds) {
	p.now = now
	if p.standby != "" && !p.removing {
		p.beginRemoval()
	}
}

// noStandbyRecord returns the record that says that there is no standby.
func (p *Primary) noStandbyRecord() Record { return Record{Token: p.fencingToken, Run: p.run} }

// beginRemoval starts to remove the standby. Until it is known to be stored that there is none, the standby
// may still be assigned the shard and use the snapshot that it has. So answers stay deferred until then.
func (p *Primary) beginRemoval() {
	if !p.recorded {
		p.finishRemoval()
		return
	}
	p.removing = true
	p.storeRecord(p.noStandbyRecord())
}

// finishRemoval completes the removal once it is certain that
// no standby is stored, and releases the deferred answers.
func (p *Primary) finishRemoval() {
	p.standby, p.deferring, p.recorded, p.removing, p.unacked, p.unsentMachines = "", false, false, false, nil, nil
	p.backoffUntil = p.now + standbyBackoff
	p.releaseAnswers(func(pendingAnswer) bool { return true })
}

// storeRecord writes a record, unless a write is in progress
// already. The outcome of an earlier write must be known first.
func (p *Primary) storeRecord(record Record) {
	if p.recording {
		return
	}
	p.recording = true
	p.host.Store(record, func(stored bool) {
		p.recording = false
		switch {
		case record.Node != "" && !stored:
			p.beginRemoval() // in doubt: the record may be stored already, or later
		case record.Node == "" && stored:
			p.finishRemoval()
		}
	})
}

// Close refuses all deferred answers: the shard is released, and no answer may be sent any more.
func (p *Primary) Close(now units.Microseconds) {
	p.now = now
	for _, pending := range p.pending {
		p.host.Answer(pending.answer, false)
	}
	p.pending = nil
}
