"""The process on an entry VM, which serves callers and decides where their requests run."""
