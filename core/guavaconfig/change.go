package guavaconfig

// Change is one accepted configuration version in the form in which it is stored and sent between VMs.
type Change struct {
	Version uint64
	// Data is the JSON of the change as stored in the table service.
	Data []byte
}

// ChangeLog is a VM's copy of the most recent configuration changes, which have one order for all VMs.
type ChangeLog interface {
	// Head returns the highest version in force on this VM.
	Head() uint64
	// After returns at most limit changes that follow version, in order. ok is false when the VM no longer
	// stores them; the reader then needs a snapshot.
	After(version uint64, limit int) (changes []Change, ok bool)
	// Accept applies changes. Versions at or below Head are ignored; a gap returns ErrGap.
	Accept(changes []Change) error
}
