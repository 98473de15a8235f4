"""Run all scenarios and give the verdict of continuous integration."""
