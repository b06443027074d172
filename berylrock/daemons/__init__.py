"""The two long-running processes: the entry process and the sidecar."""
