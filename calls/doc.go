// Package calls sends task calls to backend servers over HTTP and reports the result of each
// call: the task succeeded, failed, certainly did not start, or may have run.
package calls
