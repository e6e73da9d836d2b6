// Package msgs defines the messages exchanged by the services of different hosts, as plain structs.
// Package codec translates them to wire types.
package msgs
