"""The benchmark tool: seeded loads on fleets of stand-ins, compared with baselines."""
