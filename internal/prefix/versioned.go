package prefix

// versionMultiplier is the odd constant of a multiplicative hash.
const versionMultiplier = 0x9e3779b97f4a7c15

// Versioned returns the key of a level that was computed with the given version
// of the weights. For version 0, which stands for an unknown version, it
// returns the key itself.
func Versioned(key, weights uint64) uint64 { return key ^ weights*versionMultiplier }
