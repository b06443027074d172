"""Small stand-ins for the outside systems, each with a record of its own of what it ran."""
