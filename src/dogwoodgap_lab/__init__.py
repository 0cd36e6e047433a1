"""Fake servers, load, checks and experiments for dogwoodgap."""
