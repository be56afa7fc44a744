"""Fleets in simulated time: the cores of the program, unchanged, on virtual clocks and a network in memory."""
