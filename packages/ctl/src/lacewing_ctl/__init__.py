"""Provide lacewingctl, the command line tool of operators."""
