"""The long-running processes: the entry process, the sidecar and the gateway."""
