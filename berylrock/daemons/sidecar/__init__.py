"""The process beside each backend server; all its work passes through here."""
