"""One module for each outside system; another bench replaces these and nothing else."""
