package replication

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// pendingAnswer waits until the standby knows what it starts.
type pendingAnswer struct {
	answer  any
	message uint64 // that must have arrived; 0: it is not sent yet
	at      units.Microseconds
}

// Primary is the owner's side.
type Primary struct {
	shard        int
	fencingToken uint64
	host         Host
	now          units.Microseconds

	standby    string // who stands by, or is about to; "" nobody
	run        uint64
	sent       uint64 // number of the last message
	acked      uint64
	completeAt uint64 // number of the message with which the copy is complete; 0: not sent yet
	sealAt     uint64 // of that which tells of the last start that was let out unknown; 0: not sent yet
	unacked    []Message
	uncopied   []string         // machines that are still to be sent for the copy
	changed    map[string]bool  // machines of which the standby is to be told
	finished   map[string][]int // tasks of which it is to be told
	pending    []pendingAnswer
	deferring  bool               // it may be stored, or is about to be, who stands by: answers wait
	recorded   bool               // or was tried to be
	recording  bool               // a record is being written
	leaving    bool               // nobody is to stand by any more, and that is to be stored
	progressAt units.Microseconds // when the standby last acknowledged anything, or had nothing to
	sentAt     units.Microseconds
	flushedAt  units.Microseconds
	pausedTill units.Microseconds // nobody new before
}

// NewPrimary returns the side of an owner without a standby.
func NewPrimary(shard int, fencingToken uint64, host Host) *Primary {
	return &Primary{shard: shard, fencingToken: fencingToken, host: host, changed: map[string]bool{}, finished: map[string][]int{}}
}

// Standby names who surely stands by; "" if nobody does.
func (p *Primary) Standby() string {
	if p.recorded && !p.recording && !p.leaving {
		return p.standby
	}
	return ""
}

// DeferAnswer says that an answer starts something on a machine. It is kept until the standby
// knows, and true is returned; else it may be given at once.
func (p *Primary) DeferAnswer(now units.Microseconds, machine string, answer any) bool {
	p.now = now
	if p.standby != "" && !p.leaving {
		p.changed[machine] = true
	}
	if !p.deferring {
		return false
	}
	if len(p.pending) >= maxWaiting {
		p.host.Answer(answer, false)
		return true
	}
	p.pending = append(p.pending, pendingAnswer{answer: answer, at: now})
	return true
}

// TaskFinished says that a task has completed; it is stored later.
func (p *Primary) TaskFinished(job string, task int) {
	if p.standby != "" && !p.leaving {
		p.finished[job] = append(p.finished[job], task)
	}
}

// Tick lets time pass; it is called often. reconciled: all that earlier owners started is known.
func (p *Primary) Tick(now units.Microseconds, reconciled bool) {
	p.now = now
	switch {
	case p.leaving:
		p.store(p.noStandby())
	case p.standby == "":
		if reconciled && now >= p.pausedTill {
			p.begin()
		}
	case !p.host.Eligible(p.standby) || len(p.unacked) > 0 && now-p.progressAt > giveUpAfter:
		p.leave()
	default:
		p.flush()
		p.resend()
	}
	p.expire()
}

// begin has somebody stand by from now on.
func (p *Primary) begin() {
	standby := p.host.Candidate()
	if standby == "" {
		return
	}
	p.standby, p.sent, p.acked, p.completeAt, p.sealAt, p.unacked = standby, 0, 0, 0, 0, nil
	p.run++
	p.progressAt, p.flushedAt = p.now, 0
	p.uncopied = p.host.Machines()
	clear(p.changed)
	clear(p.finished)
	for _, tasks := range p.host.UnstoredTasks() {
		p.finished[tasks.Job] = slices.Clone(tasks.Tasks)
	}
	p.flush()
}

// news reports whether anything has happened of which the standby is to be told.
func (p *Primary) news() bool { return len(p.changed)+len(p.finished) > 0 }

// flush sends what the standby does not know yet, as far as the window allows.
func (p *Primary) flush() {
	if p.completeAt != 0 && (!p.news() || p.now-p.flushedAt < FlushInterval) {
		return
	}
	for len(p.unacked) < window && (p.completeAt == 0 || p.news()) {
		p.flushedAt = p.now
		message := p.nextMessage()
		if len(p.unacked) == 0 {
			p.progressAt, p.sentAt = p.now, p.now
		}
		p.unacked = append(p.unacked, message)
		p.host.Send(p.standby, message)
	}
	p.seal()
}

// nextMessage takes what goes into the next message. What has changed goes first: answers wait
// for it.
func (p *Primary) nextMessage() Message {
	p.sent++
	message := Message{Block: p.shard, Token: p.fencingToken, Run: p.run, N: p.sent}
	size := p.takeChanged(&message)
	if len(p.changed) == 0 {
		for i := range p.pending {
			if p.pending[i].message == 0 {
				p.pending[i].message = p.sent
			}
		}
	}
	for len(p.uncopied) > 0 && size < MessageSize {
		size += p.addMachine(&message, p.uncopied[0])
		p.uncopied = p.uncopied[1:]
	}
	p.takeFinished(&message, size)
	if p.completeAt == 0 && len(p.uncopied) == 0 && !p.news() {
		p.completeAt, message.Whole = p.sent, true
	}
	return message
}

// takeChanged adds machines that have changed and returns the message's size.
func (p *Primary) takeChanged(message *Message) (size int) {
	for _, name := range slices.Sorted(maps.Keys(p.changed)) {
		if size >= MessageSize {
			break
		}
		delete(p.changed, name)
		size += p.addMachine(message, name)
	}
	return size
}

// takeFinished adds finished tasks to a message of a size.
func (p *Primary) takeFinished(message *Message, size int) {
	for _, job := range slices.Sorted(maps.Keys(p.finished)) {
		if size >= MessageSize {
			break
		}
		tasks := p.finished[job]
		count := min(len(tasks), MessageSize-size)
		message.Done = append(message.Done, FinishedTasks{job, tasks[:count:count]})
		size += count
		if p.finished[job] = tasks[count:]; count == len(tasks) {
			delete(p.finished, job)
		}
	}
}

func (p *Primary) addMachine(message *Message, name string) (size int) {
	machine := p.host.SnapshotMachine(name)
	message.Machines = append(message.Machines, machine)
	return len(machine.Tasks) + machineSize
}

// resend sends the first messages without an Ack once more, from time to time.
func (p *Primary) resend() {
	if len(p.unacked) == 0 || p.now-p.sentAt <= resendAfter {
		return
	}
	p.sentAt = p.now
	for _, message := range p.unacked[:min(len(p.unacked), window/4)] {
		p.host.Send(p.standby, message)
	}
}

// seal notes by which message the standby knows of all that was let out before answers
// began to wait.
func (p *Primary) seal() {
	if p.deferring && p.sealAt == 0 && len(p.changed) == 0 {
		p.sealAt = p.sent
	}
}

// OnAck takes a standby's word.
func (p *Primary) OnAck(now units.Microseconds, from string, ack Ack) {
	p.now = now
	if from != p.standby || ack.Token != p.fencingToken || ack.Run != p.run || ack.N <= p.acked || ack.N > p.sent {
		return
	}
	p.acked, p.progressAt = ack.N, now
	for len(p.unacked) > 0 && p.unacked[0].N <= ack.N {
		p.unacked = p.unacked[1:]
	}
	p.release(func(pending pendingAnswer) bool { return pending.message != 0 && pending.message <= ack.N })
	if p.completeAt != 0 && ack.N >= p.completeAt && !p.deferring && !p.leaving {
		p.deferring = true
		p.seal()
	}
	if p.sealAt != 0 && ack.N >= p.sealAt && !p.recorded && !p.leaving {
		p.recorded = true
		p.store(Record{Node: p.standby, Token: p.fencingToken, Run: p.run})
	}
}

// release lets answers out.
func (p *Primary) release(which func(pendingAnswer) bool) {
	var kept []pendingAnswer
	for _, pending := range p.pending {
		if which(pending) {
			p.host.Answer(pending.answer, p.now-pending.at < answerWithin)
		} else {
			kept = append(kept, pending)
		}
	}
	p.pending = kept
}

// expire gives up answers that nobody waits for any more. What they start does not show in
// the machine's next heartbeat, and was never carried out.
func (p *Primary) expire() {
	if len(p.pending) > 0 && p.now-p.pending[0].at >= answerWithin {
		p.release(func(pending pendingAnswer) bool { return p.now-pending.at >= answerWithin })
	}
}

// RemoveStandby has nobody stand by for now.
func (p *Primary) RemoveStandby(now units.Microseconds) {
	p.now = now
	if p.standby != "" && !p.leaving {
		p.leave()
	}
}

// noStandby is the record that nobody stands by.
func (p *Primary) noStandby() Record { return Record{Token: p.fencingToken, Run: p.run} }

// leave has nobody stand by any more. Until that is surely stored the standby may be assigned
// the shard by what it has.
func (p *Primary) leave() {
	if !p.recorded {
		p.free()
		return
	}
	p.leaving = true
	p.store(p.noStandby())
}

// free ends it: surely nobody is stored to stand by.
func (p *Primary) free() {
	p.standby, p.deferring, p.recorded, p.leaving, p.unacked, p.uncopied = "", false, false, false, nil, nil
	p.pausedTill = p.now + pause
	p.release(func(pendingAnswer) bool { return true })
}

// store writes a record until it is known what became of it.
func (p *Primary) store(record Record) {
	if p.recording {
		return
	}
	p.recording = true
	p.host.Store(record, func(stored bool) {
		p.recording = false
		switch {
		case record.Node != "" && !stored:
			p.leave() // it may yet be stored, or be so already
		case record.Node == "" && stored:
			p.free()
		}
	})
}

// Close ends it: the shard is released, and no answer is let out any more.
func (p *Primary) Close(now units.Microseconds) {
	p.now = now
	for _, pending := range p.pending {
		p.host.Answer(pending.answer, false)
	}
	p.pending = nil
}
