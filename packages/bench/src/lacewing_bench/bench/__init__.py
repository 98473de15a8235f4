"""Compare routing policies on whole fleets, in fair and foul weather."""
