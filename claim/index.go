package claim

import "hash/maphash"

// hashSeed differs between processes. That is safe because the iteration order of a table affects
// neither results nor snapshots.
var hashSeed = maphash.MakeSeed()

func hashKey(s *scope, key string) uint64 {
	return maphash.Comparable(hashSeed, recordKey{s, key})
}

func hashJob(job string) uint64 {
	return maphash.String(hashSeed, job)
}

// recordByKey returns the record of a key, or nil.
func (reg *Registry) recordByKey(s *scope, key string) *record {
	return reg.byKey.find(hashKey(s, key), func(r *record) bool { return r.scope == s && r.key() == key })
}

// recordByJob returns the record of a job, or nil.
func (reg *Registry) recordByJob(job string) *record {
	return reg.byJob.find(hashJob(job), func(r *record) bool { return r.job() == job })
}
