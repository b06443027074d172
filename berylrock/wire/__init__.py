"""The protocol between an entry process and a sidecar."""
