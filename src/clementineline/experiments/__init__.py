"""Experiments on real processes: demo, fault injection and benchmarks."""
