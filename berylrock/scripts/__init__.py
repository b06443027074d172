"""The command line interface: modules that parse arguments and call the library."""
