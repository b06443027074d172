"""Stand-ins for the external systems; each records what it ran, independently of the product."""
