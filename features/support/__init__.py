"""What the steps share."""
