// Package estimator learns the run times of kinds from finished tasks.
package estimator
