"""Stand-ins, load, checks and experiments for dogwoodgap."""
