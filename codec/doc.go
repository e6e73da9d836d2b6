// Package codec converts the plain structs of the other packages to and from the
// wire types generated from the schema.
//
// Both sides use the same field names, so one conversion by field name serves every
// message. The converter for a pair of types is built once, when the program starts.
package codec
