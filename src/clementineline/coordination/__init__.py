"""Decisions: membership, lease, planning, routing, weights, samples."""
