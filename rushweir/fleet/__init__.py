"""Who is in the fleet, under which number, and what its members tell each other. No I/O, no clock."""
