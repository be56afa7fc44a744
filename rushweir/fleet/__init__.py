"""Fleet membership, numbered slots and the table that members replicate. No I/O, no clock."""
