"""Seeded benchmarks, compared with baselines and required bounds."""
