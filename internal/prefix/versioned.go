package prefix

// versionMultiplier is the odd constant of a multiplicative hash.
const versionMultiplier = 0x9e3779b97f4a7c15

// Versioned returns the key of a level as computed on weights of a version; the
// key itself for version 0, which is not known.
func Versioned(key, weights uint64) uint64 { return key ^ weights*versionMultiplier }
