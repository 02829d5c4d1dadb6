package quota

// AccountKey returns the key of an account in a wire.QuotaDemand or wire.QuotaGrant.
func AccountKey(account uint64) Key {
	key, _ := splitAccount(account)
	return key
}
