// Package core runs one host's part of the core: the small replicated group
// that keeps the newest routes document and decides which entry host places the
// runs of each data centre. A host that is no member of the group passes on what
// it is asked.
package core
