package simtest

import "time"

// processAndZoneFaults draws combinations of events of whole processes and zones that are
// hard to handle together.
func (b *scriptBuilder) processAndZoneFaults(at time.Duration) {
	b.drawOne("tangle", []choice{
		{2, func() { b.frozenOwner(at) }},
		{2, func() { b.zonePartition(at) }},
		{1, func() { b.machinesCrash(at) }},
		{1, func() { b.returningMachinesCrash(at) }},
		{1, func() { b.partitionAndKillAll(at) }},
		{1, func() { b.frozenSuccessor(at) }},
	})
}

// freezeAny pauses one controller, or all of them.
func (b *scriptBuilder) freezeAny(at time.Duration) {
	b.freeze(at, b.pick("who", b.node(), b.node(), b.node(), "all"), b.moment("still", 500*time.Millisecond, 25*time.Second))
}

// frozenOwner pauses controllers, for long enough in some cases that their shards are taken
// over, and cancels a job meanwhile.
func (b *scriptBuilder) frozenOwner(at time.Duration) {
	soon := b.soonAfter(at, 4*time.Second)
	job := b.plainJob(at-b.moment("before", 0, 4*time.Second), "")
	b.freezeAny(soon())
	if b.chance(60, "aborted") {
		b.userCancels(soon(), b.node(), job)
	}
	if b.chance(40, "another") {
		b.freezeAny(soon())
	}
	if b.chance(40, "hang") {
		b.machineFault(machineOf(job), "hang", soon())
	}
	if b.chance(30, "limited") {
		b.plainJob(soon(), b.limitedArray(4, 12, 2, 8))
	}
}

// zonePartition partitions a zone for up to several agent leases.
func (b *scriptBuilder) zonePartition(at time.Duration) {
	soon := b.soonAfter(at, 4*time.Second)
	job := b.plainJob(at-b.moment("before", 2*time.Second, 6*time.Second), "")
	b.partitionZone(soon(), time.Second, 45*time.Second)
	if b.chance(40, "outage") {
		b.outage(soon(), 14*time.Second)
	}
	if b.chance(40, "one ends") {
		b.kill(b.node(), soon())
	}
	if b.chance(50, "aborted") {
		b.userCancels(soon(), b.node(), job)
	}
	if b.chance(30, "freeze") {
		b.freezeAny(soon())
	}
}

// machinesCrash makes many machines crash at once, in some cases while the cloud has no
// others to provision.
func (b *scriptBuilder) machinesCrash(at time.Duration) {
	soon := b.soonAfter(at, 4*time.Second)
	b.add(soon(), "death %d", b.number("percent", 10, 70))
	if b.chance(50, "stingy") {
		b.fault("stingy", soon())
	}
	if b.chance(40, "outage") {
		b.outage(soon(), 14*time.Second)
	}
}

// returningMachinesCrash makes machines crash while they are being returned or fenced.
func (b *scriptBuilder) returningMachinesCrash(at time.Duration) {
	soon := b.soonAfter(at, 4*time.Second)
	b.add(soon(), "wave notice")
	b.machineFault(b.host(), "hang", soon())
	b.add(soon()+b.moment("later", 0, 12*time.Second), "death %d", b.number("percent", 20, 60))
	if b.chance(50, "cloud") {
		b.cloudOutage(soon())
	}
}

func (b *scriptBuilder) partitionAndKillAll(at time.Duration) {
	soon := b.soonAfter(at, 4*time.Second)
	b.partitionZone(soon(), time.Second, 45*time.Second)
	b.kill("all", soon())
	if b.chance(50, "twice") {
		b.kill("all", soon()+b.moment("later", 8*time.Second, 15*time.Second))
	}
}

// frozenSuccessor restarts a controller, which takes its shard back, while possible
// successors are paused.
func (b *scriptBuilder) frozenSuccessor(at time.Duration) {
	b.killFor(at, b.controllers[0], b.moment("away", 5*time.Second, 8*time.Second))
	for _, successor := range b.controllers[1:3] {
		b.freeze(at+b.moment("then", 6*time.Second, 16*time.Second), successor, b.moment("still", time.Second, 12*time.Second))
	}
}
