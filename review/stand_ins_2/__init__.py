"""Stand-ins of the second review: store, runners, clients and the processes under test."""
