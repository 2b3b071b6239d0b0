package quota

import (
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// PendingTransfer is the transaction with which a holder transfers amounts to one or more
// receivers: one change of the record of the holder's allotment. The caller commits the
// transaction and calls FinishTransfer, whatever the outcome. To lists the receivers,
// separated by commas.
type PendingTransfer struct {
	Transfer
	Team      string
	Compares  []kv.Compare
	Ops       []kv.Op
	team      *teamState
	receivers map[string]Resources
}

// DueTransfers returns the transfers that are due from the holders that this controller
// decides for. decidesFor reports whether this controller decides for a holder, and returns
// the condition of a transfer from the holder: the version of the Shard or Leader record.
func (m *Manager) DueTransfers(decidesFor func(holder string) (kv.Compare, bool), now time.Time) []PendingTransfer {
	var pending []PendingTransfer
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		team := m.teams[name]
		if !team.isAllotted() || team.limit.Base == nil || team.limit.Closing || len(team.demands) == 0 {
			continue
		}
		due := make(map[string]map[string]Resources) // amounts to be transferred, by holder and receiver
		for _, transfer := range Rebalance(team.limit.Max, m.holders(team, now)) {
			if due[transfer.From] == nil {
				due[transfer.From] = make(map[string]Resources)
			}
			due[transfer.From][transfer.To] = transfer.Amount
		}
		for _, holder := range slices.Sorted(maps.Keys(due)) {
			ownerCompare, decides := decidesFor(holder)
			if _, busy := team.transferring[holder]; !decides || busy {
				continue
			}
			pending = append(pending, team.newTransfer(holder, due[holder], ownerCompare))
		}
	}
	return pending
}

// holders returns a snapshot of a team's holders, sorted by name. It removes demands that
// have expired because they are no longer reported.
func (m *Manager) holders(t *teamState, now time.Time) []Holder {
	names := make(map[string]bool)
	for holder := range t.grants() {
		names[holder] = true
	}
	for holder, demand := range t.demands {
		if demand.isExpired(now) {
			delete(t.demands, holder)
			continue
		}
		demand.Waited = now.Sub(demand.since)
		names[holder] = true
	}
	holders := make([]Holder, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		holder := Holder{Name: name, Grant: t.grants()[name].Minus(t.transferring[name]), Use: m.usage(t.name, name)}
		if demand := t.demands[name]; demand != nil {
			holder.Demand = &demand.Demand
		}
		holders = append(holders, holder)
	}
	return holders
}

// newTransfer returns the transaction by which a holder transfers amounts to receivers. Its
// conditions are ownerCompare and the cached versions of the limit's record and of the
// holder's allotment record. Until FinishTransfer is called, the amounts count as
// transferred.
func (t *teamState) newTransfer(from string, receivers map[string]Resources, ownerCompare kv.Compare) PendingTransfer {
	before := t.allotments[from]
	next := &records.Allotment{Generation: t.limit.Generation, Transferred: make(map[string]Resources)}
	if before.record.Generation == next.Generation {
		maps.Copy(next.Transferred, before.record.Transferred)
	}
	total := Resources{}
	for receiver, amount := range receivers {
		next.Transferred[receiver] = next.Transferred[receiver].Plus(amount)
		total = total.Plus(amount)
	}
	t.transferring[from] = total
	key := records.AllotmentPrefix + t.name + "/" + from
	return PendingTransfer{
		Transfer:  Transfer{From: from, To: strings.Join(slices.Sorted(maps.Keys(receivers)), ","), Amount: total},
		Team:      t.name,
		Compares:  []kv.Compare{ownerCompare, {Key: records.TeamLimitPrefix + t.name, Version: t.limitVersion}, {Key: key, Version: before.version}},
		Ops:       []kv.Op{{Key: key, Value: next}},
		team:      t,
		receivers: receivers,
	}
}

// FinishTransfer ends a transfer after its commit, whether or not the commit succeeded: the
// records that the caller applies show the outcome. It removes the demands of receivers at
// other controllers until they are reported again: a demand reported before the transfer
// would cause a second transfer of the same amount.
func (m *Manager) FinishTransfer(p PendingTransfer) {
	delete(p.team.transferring, p.From)
	for receiver := range p.receivers {
		if demand := p.team.demands[receiver]; demand != nil && !demand.isLocal() {
			delete(p.team.demands, receiver)
		}
	}
}
