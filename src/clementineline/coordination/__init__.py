"""Membership, leader lease, planning, routing, weights and samples."""
