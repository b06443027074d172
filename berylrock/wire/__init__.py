"""Protocol between entry processes and sidecars."""
