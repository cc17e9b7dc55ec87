package guavaconfig

// Change is one accepted configuration version in the form in which it is stored and sent between VMs.
type Change struct {
	Version uint64
	// Data is the JSON of the change as stored in the table service.
	Data []byte
}

// ChangeLog is what a VM holds of the single order of configuration versions.
type ChangeLog interface {
	// Head returns the highest version in force on this VM.
	Head() uint64
	// After returns at most limit changes that follow version, in order. ok is false when the VM no
	// longer holds them, and a snapshot is needed instead.
	After(version uint64, limit int) (changes []Change, ok bool)
	// Accept puts changes in force. Versions at or below Head are ignored; a gap is an error.
	Accept(changes []Change) error
}
