// Package keeper replicates the two lists that operators edit. On the members of
// the lists group it replicates and applies edits. On every host it activates the
// newest committed version and sends it to hosts with an older one.
package keeper
