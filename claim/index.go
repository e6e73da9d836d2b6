package claim

import "hash/maphash"

// hashSeed differs between processes; no order of a table shows outside.
var hashSeed = maphash.MakeSeed()

func hashKey(s *scope, key string) uint64 {
	return maphash.Comparable(hashSeed, recordKey{s, key})
}

func hashJob(job string) uint64 {
	return maphash.String(hashSeed, job)
}

// keyed returns the record that holds a key, or nil.
func (reg *Registry) recordByKey(s *scope, key string) *record {
	return reg.byKey.find(hashKey(s, key), func(r *record) bool { return r.scope == s && r.key() == key })
}

// job returns the record of a job, or nil.
func (reg *Registry) recordByJob(job string) *record {
	return reg.byJob.find(hashJob(job), func(r *record) bool { return r.job() == job })
}
