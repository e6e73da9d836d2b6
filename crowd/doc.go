// Package crowd holds the tests of the daemon against clients that nobody controls. Each test starts the
// daemon with low limits on loopback addresses, lets many clients hold large bodies or connections, and
// checks that the process lives, that its memory and open descriptors stay under the limits, and that an
// ordinary request is answered afterwards.
package crowd
