package prefix

// versionMultiplier is the odd constant of a multiplicative hash.
const versionMultiplier = 0x9e3779b97f4a7c15

// Versioned returns the key under which a level that was computed with the given
// version of the weights is known. Version 0 stands for an unknown version; its
// key is the key of the level itself.
func Versioned(key, weights uint64) uint64 { return key ^ weights*versionMultiplier }
