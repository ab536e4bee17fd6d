"""Measurements: seeded, against baselines, with bounds from the aims."""
