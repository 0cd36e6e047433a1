"""Which nodes own keys, and which ones did when older state was written."""
