package guavapoison

// maxParts bounds the parts of a prompt that are told apart. A request's header has room for about a thousand.
const maxParts = 64

// PartTraits returns identifiers of the prompt parts with the given IDs, in their order, one for each of the first
// maxParts. None is 0. They are hashes, so that they have the same length whatever a caller sends.
func PartTraits(ids []string) []uint64 {
	if len(ids) == 0 {
		return nil
	}
	traits := make([]uint64, 0, min(len(ids), maxParts))
	for _, id := range ids[:min(len(ids), maxParts)] {
		traits = append(traits, max(NewFingerprint("prompt part", []byte(id)).Sum(), 1))
	}
	return traits
}
