"""Code shared by the behave steps."""
