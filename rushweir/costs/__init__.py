"""Request costs: estimated from rules in advance, settled by the actual cost afterwards, in thousandths of a unit."""
