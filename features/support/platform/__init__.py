"""Stand-ins that speak the users' platform: its store and its engines, with faults on demand."""
