"""Experiments on real processes: the demo, fault runs and measurements."""
