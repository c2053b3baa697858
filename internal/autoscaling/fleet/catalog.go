package fleet

import (
	"reflect"

	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// persistCatalog writes the machine types to the state service, so that a controller that starts during an
// outage of the cloud can accept and place jobs.
func (r *Reconciler) persistCatalog() {
	if !r.deps.Catalog.IsFetched() {
		return
	}
	machineTypes := r.deps.Catalog.MachineTypes()
	for _, name := range sortedmap.Keys(machineTypes) {
		machineType := machineTypes[name]
		record := machineTypeRecord(&machineType)
		stored := r.deps.Mirror.MachineTypes[name]
		if stored.Version != 0 && equalExceptPrices(record, stored.Record) || !protocol.ValidKeyPart(name) {
			continue
		}
		key := storage.MachineTypeKey(name)
		txn := protocol.PutIfUnchanged(key, stored.Version, &record)
		r.Commit(ratelimit.PriorityBackground, key, txn, nil)
	}
}

// machineTypeRecord returns the record of a machine type.
func machineTypeRecord(machineType *protocol.MachineType) storage.MachineType {
	return storage.MachineType{
		CPUs:          machineType.CPUs,
		GPUs:          machineType.GPUs,
		MemoryGB:      machineType.MemoryGB,
		CacheGB:       machineType.LocalStorageGB,
		FetchGBPerS:   machineType.FetchGBPerS,
		OnDemandPrice: machineType.OnDemandPrice,
		SpotPrice:     machineType.SpotPrice,
		BootS:         machineType.BootS,
		Zones:         machineType.Zones,
	}
}

// equalExceptPrices reports whether two records are equal apart from their prices, which change too often to
// justify a write.
func equalExceptPrices(record, stored storage.MachineType) bool {
	record.OnDemandPrice, record.SpotPrice = stored.OnDemandPrice, stored.SpotPrice
	return reflect.DeepEqual(record, stored)
}
