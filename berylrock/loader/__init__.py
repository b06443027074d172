"""Loading, validation and editing of the files that operators write."""
