"""Reading and checking what operators write."""
