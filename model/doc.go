// Package model defines the plain structs shared by the services and the decision code: hosts,
// backend servers, customers, plans, submissions and their answers. The types have no encoding and
// no behaviour beyond small helpers.
package model
