"""Compare placement with every model on every worker, on real processes."""
