"""The process on an entry VM: it answers callers and decides where their requests run."""
