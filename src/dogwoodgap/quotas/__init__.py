"""Quotas of customers over all gateways."""
