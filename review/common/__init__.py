"""Stand-ins for the store, engines and clients of the users' pages, for the cases of the review."""
