"""The command line: modules that parse arguments and call the library."""
