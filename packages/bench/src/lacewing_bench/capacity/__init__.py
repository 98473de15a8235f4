"""Work out the target size from slopes measured on one machine."""
