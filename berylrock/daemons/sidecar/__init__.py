"""The process beside each backend server, through which all of the server's requests pass."""
